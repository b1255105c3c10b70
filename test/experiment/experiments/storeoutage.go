package experiments

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

// Start times of the store faults, of the restart of an entry instance and of the
// recovery of the store, as shares of the duration.
const (
	slowFrom        = 0.10
	loseAnswersFrom = 0.25
	downFrom        = 0.40
	restartFrom     = 0.50
	healFrom        = 0.80
)

const (
	slowStoreDelay     = 500 * time.Millisecond
	lostAnswerShare    = 0.5
	outageLoad         = 0.5
	outageEditInterval = 200 * time.Millisecond
	// minCompleteInOutage is the share of the jobs arriving during the faults that
	// must be complete.
	minCompleteInOutage = 0.95
	// restartTimeout bounds the time until a restarted entry instance uses the
	// newest configuration.
	restartTimeout = 3 * recoveryBound
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
)

// storeOutage edits a limit while the store is slow, loses answers and is down, and
// restarts an entry instance while the store is down.
func storeOutage(r *run) error {
	d := load.Safari()
	p, err := r.start(d, withEditLimits(d, 1))
	if err != nil {
		return err
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(2)
	var acceptedAfterHeal int
	go func() {
		defer wg.Done()
		acceptedAfterHeal = p.raiseLimitUntil(done)
	}()
	var faultErr error
	go func() {
		defer wg.Done()
		faultErr = p.runStoreFaults()
	}()
	out := p.submitJobs(load.Generate(d, load.Spec{Duration: r.Duration, Utilization: outageLoad, MaxTasks: churnMaxTasks}, r.Seed))
	close(done)
	wg.Wait()
	if _, err := p.close(); err != nil {
		return err
	}
	var during, complete int
	for _, o := range out {
		if o.At >= scale(r.Duration, slowFrom) && o.At < scale(r.Duration, healFrom) {
			during++
			if o.Complete() {
				complete++
			}
		}
	}
	r.rep.Figure("completeDuringFaults", share(complete, during))
	r.rep.Target("completeDuringFaults", report.AtLeast, minCompleteInOutage)
	r.rep.Figure("acceptedAfterHeal", float64(acceptedAfterHeal))
	r.rep.Target("acceptedAfterHeal", report.AtLeast, 1)
	r.rep.Target("newInstanceS", report.AtMost, recoveryBound.Seconds())
	if faultErr != nil {
		return errors.Trace(faultErr)
	}
	return r.replaceInOutage(d)
}

// runStoreFaults sets the store faults at their times and restarts an entry instance
// while the store is down.
func (p *phase) runStoreFaults() error {
	set := func(at float64, action string, f cluster.StoreFault) {
		p.sleepUntil(scale(p.run.Duration, at))
		p.addTrace(load.TraceLine{Type: load.LineFault, Fault: &load.TraceFault{Action: action, Target: "store"}})
		p.c.SetStoreFault(f)
	}
	set(slowFrom, "slow", cluster.StoreFault{Delay: slowStoreDelay})
	set(loseAnswersFrom, "lose", cluster.StoreFault{LostAnswerShare: lostAnswerShare})
	set(downFrom, "down", cluster.StoreFault{Down: true})
	p.sleepUntil(scale(p.run.Duration, restartFrom))
	err := p.restartInOutage()
	set(healFrom, "heal", cluster.StoreFault{})
	return err
}

// restartInOutage restarts an entry instance and sets the figure newInstanceS, the time
// until it uses the newest configuration of any live process. It doesn't set the figure
// if that takes longer than restartTimeout.
func (p *phase) restartInOutage() error {
	if err := p.applyFault("stop", cluster.Entry, 0); err != nil {
		return err
	}
	newest := p.newestRevision()
	begin := p.now()
	if err := p.applyFault("start", cluster.Entry, 0); err != nil {
		return err
	}
	for p.now() < begin+restartTimeout {
		for _, v := range p.c.Processes() {
			if v.Role == cluster.Entry && v.Index == 0 && newest > 0 && v.Revision >= newest {
				p.run.rep.Figure("newInstanceS", (p.now() - begin).Seconds())
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// raiseLimitUntil raises one limit every outageEditInterval until done is closed, and
// returns the number of accepted edits that were sent after the recovery of the store.
func (p *phase) raiseLimitUntil(done <-chan struct{}) int {
	o := cluster.NewOperator(p.rec)
	accepted := 0
	for n := int64(1); ; n++ {
		select {
		case <-done:
			return accepted
		case <-time.After(outageEditInterval):
		}
		m, err := p.edit(o, int(n)%p.deployment.Entries, limitEdit(0, firstLimitValue+n, 0))
		if err == nil && m.Outcome == history.Accepted && m.Call >= p.begin+scale(p.run.Duration, healFrom) {
			accepted++
		}
	}
}

// firstLimitValue is the first value of the limits that operators edit. It is above any
// queue length, so that the edits have no effect on the load.
const firstLimitValue = 1_000_000

// withEditLimits returns a document with limits for operators to edit.
func withEditLimits(d load.Deployment, count int) *resource.Document {
	doc := d.Document()
	for i := range count {
		e := limitEdit(i, firstLimitValue, 0)
		doc.Limits[e.Name] = &resource.Limit{
			Metadata: resource.Metadata{Name: e.Name, Generation: 1, ResourceVersion: 1},
			Spec:     e.Spec.(resource.LimitSpec),
		}
	}
	return doc
}
