package runs

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	// callsTime is how long the calls of the store are counted; it spans a renewal
	// of each registration.
	callsTime = 5 * time.Second
	// outageTime is how long the store stays down after all entry instances
	// have been replaced, so that retries reach their longest delay.
	outageTime = 2 * time.Second
	// replaceLoad is the load while all entry instances are replaced; the jobs
	// in flight at that time are lost with their payloads.
	replaceLoad = 0.1
	// storeReads and storeWrites are the calls a second that the store takes.
	storeReads, storeWrites = 2000, 300
)

// replaceInOutage kills all entry instances while the store is down, and
// starts new ones, which have only the sidecars to take the configuration
// from. The store then comes back in an older state.
func (r *run) replaceInOutage(d load.Deployment) error {
	p, err := r.start(d, withEditLimits(d, 1))
	if err != nil {
		return err
	}
	var failed error
	var wg sync.WaitGroup
	wg.Go(func() { failed = p.replaceAll() })
	p.drive(load.Generate(d, load.Spec{Duration: r.Duration / 3, Utilization: replaceLoad, MaxTasks: churnMaxTasks}, r.Seed))
	wg.Wait()
	if failed == nil {
		p.checkNothingLost(1)
	}
	if _, err := p.close(); err != nil {
		return err
	}
	r.rep.Target("replacedInOutageS", report.AtMost, recoverWithin.Seconds())
	r.rep.Target("writtenBackS", report.AtMost, recoverWithin.Seconds())
	for _, name := range []string{"calm", "afterOutage"} {
		r.rep.Target(name+".storeReadsPerS", report.AtMost, storeReads)
		r.rep.Target(name+".storeWritesPerS", report.AtMost, storeWrites)
	}
	return errors.Trace(failed)
}

func (p *phase) replaceAll() error {
	p.countCalls("calm")
	restore := p.c.SnapshotStore()
	o := cluster.NewOperator(p.rec)
	m, err := p.edit(o, 0, limitEdit(0, editBase+1, 0))
	if err != nil || m.Outcome != history.Accepted {
		return errors.Errorf("edit of a healthy store: %+v, %v", m, err)
	}
	if _, ok := p.awaitRevision(m.Revision, false); !ok {
		return errors.Timeoutf("revision %d in force everywhere", m.Revision)
	}
	p.note(load.TraceLine{Type: load.LineFault, Fault: &load.TraceFault{Action: "down", Target: "store"}})
	p.c.SetStoreFault(cluster.StoreFault{Down: true})
	all := step{name: "replaceAll", role: cluster.Entry}
	for i := range p.d.Entries {
		all.targets = append(all.targets, i)
	}
	for _, action := range []string{"kill", "start"} {
		if err := p.each(all, action); err != nil {
			return err
		}
	}
	if took, ok := p.awaitRevision(m.Revision, true); ok {
		p.run.rep.Figure("replacedInOutageS", took.Seconds())
	}
	time.Sleep(outageTime)
	p.note(load.TraceLine{Type: load.LineFault, Fault: &load.TraceFault{Action: "restore", Target: "store"}})
	restore()
	p.c.SetStoreFault(cluster.StoreFault{})
	var wg sync.WaitGroup
	wg.Go(func() { p.countCalls("afterOutage") })
	p.awaitEdit(o)
	wg.Wait()
	return nil
}

// awaitRevision waits until the entry instances, or all processes, use a
// revision, and returns the time that it took.
func (p *phase) awaitRevision(revision uint64, entriesOnly bool) (took time.Duration, ok bool) {
	for begin := p.now(); p.now() < begin+restartWait; time.Sleep(pollEvery) {
		behind, entries := 0, 0
		for _, v := range p.c.Processes() {
			if v.Role == cluster.Entry {
				entries++
			}
			if v.Revision < revision && (v.Role == cluster.Entry || !entriesOnly) {
				behind++
			}
		}
		if behind == 0 && entries == p.d.Entries {
			return p.now() - begin, true
		}
	}
	return 0, false
}

// awaitEdit edits a limit until an edit is accepted. The figure is left out if
// none is.
func (p *phase) awaitEdit(o *cluster.Operator) {
	begin := p.now()
	for n := int64(2); p.now() < begin+restartWait; n++ {
		m, err := p.edit(o, int(n)%p.d.Entries, limitEdit(0, editBase+n, 0))
		if err == nil && m.Outcome == history.Accepted {
			p.run.rep.Figure("writtenBackS", (p.now() - begin).Seconds())
			return
		}
		time.Sleep(pollEvery)
	}
}

// countCalls sets the calls of the store per second. A pending watch counts as
// one call a second.
func (p *phase) countCalls(name string) {
	before := p.c.StoreCalls()
	time.Sleep(callsTime)
	after := p.c.StoreCalls()
	seconds := callsTime.Seconds()
	p.run.rep.Figure(name+".storeReadsPerS", float64(after.Reads-before.Reads)/seconds+float64(after.Watches))
	p.run.rep.Figure(name+".storeWritesPerS", float64(after.Writes-before.Writes)/seconds)
}
