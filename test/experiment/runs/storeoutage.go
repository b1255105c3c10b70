package runs

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

// Times of the store's faults as shares of the duration.
const (
	slowFrom    = 0.10
	loseFrom    = 0.25
	downFrom    = 0.40
	restartFrom = 0.50
	healFrom    = 0.80
)

const (
	slowStore  = 500 * time.Millisecond
	loseShare  = 0.5
	outageLoad = 0.5
	outageEdit = 200 * time.Millisecond
	// flowShare of the jobs that arrive during the faults are complete.
	flowShare = 0.95
	// restartWait is how long the store stays down for the new instance.
	restartWait = 3 * recoverWithin
	// pollEvery is the time between two looks at a condition.
	pollEvery = 10 * time.Millisecond
)

// storeOutage edits a limit and restarts an entry instance while the store is
// slow, loses answers, and is down.
func storeOutage(r *run) error {
	d := load.Safari()
	p, err := r.start(d, withEditLimits(d, 1))
	if err != nil {
		return err
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(2)
	var healed int
	go func() {
		defer wg.Done()
		healed = p.raiseLimit(done)
	}()
	var failed error
	go func() {
		defer wg.Done()
		failed = p.storeFaults()
	}()
	out := p.drive(load.Generate(d, load.Spec{Duration: r.Duration, Utilization: outageLoad, MaxTasks: churnMaxTasks}, r.Seed))
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
	r.rep.Target("completeDuringFaults", report.AtLeast, flowShare)
	r.rep.Figure("acceptedAfterHeal", float64(healed))
	r.rep.Target("acceptedAfterHeal", report.AtLeast, 1)
	r.rep.Target("newInstanceS", report.AtMost, recoverWithin.Seconds())
	if failed != nil {
		return errors.Trace(failed)
	}
	return r.replaceInOutage(d)
}

// storeFaults runs the schedule of faults.
func (p *phase) storeFaults() error {
	set := func(at float64, action string, f cluster.StoreFault) {
		p.sleepUntil(scale(p.run.Duration, at))
		p.note(load.TraceLine{Type: load.LineFault, Fault: &load.TraceFault{Action: action, Target: "store"}})
		p.c.SetStoreFault(f)
	}
	set(slowFrom, "slow", cluster.StoreFault{Delay: slowStore})
	set(loseFrom, "lose", cluster.StoreFault{LostAnswerShare: loseShare})
	set(downFrom, "down", cluster.StoreFault{Down: true})
	p.sleepUntil(scale(p.run.Duration, restartFrom))
	err := p.restartInOutage()
	set(healFrom, "heal", cluster.StoreFault{})
	return err
}

// restartInOutage restarts an entry instance and sets the time until it uses
// the newest configuration of any live process. The figure is left out if it
// never does.
func (p *phase) restartInOutage() error {
	if err := p.fault("stop", cluster.Entry, 0); err != nil {
		return err
	}
	newest := p.newest()
	begin := p.now()
	if err := p.fault("start", cluster.Entry, 0); err != nil {
		return err
	}
	for p.now() < begin+restartWait {
		for _, v := range p.c.Processes() {
			if v.Role == cluster.Entry && v.Index == 0 && newest > 0 && v.Revision >= newest {
				p.run.rep.Figure("newInstanceS", (p.now() - begin).Seconds())
				return nil
			}
		}
		time.Sleep(pollEvery)
	}
	return nil
}

// raiseLimit raises one limit again and again until done, and returns how
// many edits were accepted after the store was healthy again.
func (p *phase) raiseLimit(done <-chan struct{}) int {
	o := cluster.NewOperator(p.rec)
	accepted := 0
	for n := int64(1); ; n++ {
		select {
		case <-done:
			return accepted
		case <-time.After(outageEdit):
		}
		m, err := p.edit(o, int(n)%p.d.Entries, limitEdit(0, editBase+n, 0))
		if err == nil && m.Outcome == history.Accepted && m.Call >= p.begin+scale(p.run.Duration, healFrom) {
			accepted++
		}
	}
}

// editBase is the first value of the limits that operators edit; it is above
// any queue, so that the edits have no effect on the load.
const editBase = 1_000_000

// withEditLimits returns a document with limits for operators to edit.
func withEditLimits(d load.Deployment, count int) *resource.Document {
	doc := d.Document()
	for i := range count {
		e := limitEdit(i, editBase, 0)
		doc.Limits[e.Name] = &resource.Limit{
			Metadata: resource.Metadata{Name: e.Name, Generation: 1, ResourceVersion: 1},
			Spec:     e.Spec.(resource.LimitSpec),
		}
	}
	return doc
}
