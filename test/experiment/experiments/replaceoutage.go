package experiments

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
	// storeCallWindow is the time for which the calls to the store are counted. It
	// includes a renewal of each registration.
	storeCallWindow = 5 * time.Second
	// outageDuration is how long the store stays down after all entry instances
	// have been replaced. It is long enough for retries to reach their maximum delay.
	outageDuration = 2 * time.Second
	// replaceLoad is the load while all entry instances are replaced. The jobs in
	// flight at that time are lost with their payloads.
	replaceLoad = 0.1
	// maxStoreReads and maxStoreWrites are the calls per second that the store
	// supports.
	maxStoreReads, maxStoreWrites = 2000, 300
)

// replaceInOutage kills all entry instances while the store is down and starts new
// ones, which can get the configuration only from the sidecars. The store then becomes
// available again in an older state.
func (r *run) replaceInOutage(d load.Deployment) error {
	p, err := r.start(d, withEditLimits(d, 1))
	if err != nil {
		return err
	}
	var replaceErr error
	var wg sync.WaitGroup
	wg.Go(func() { replaceErr = p.replaceAllEntries() })
	p.submitJobs(load.Generate(d, load.Spec{Duration: r.Duration / 3, Utilization: replaceLoad, MaxTasks: churnMaxTasks}, r.Seed))
	wg.Wait()
	if replaceErr == nil {
		p.checkNoLostEdits(1)
	}
	if _, err := p.close(); err != nil {
		return err
	}
	r.rep.Target("replacedInOutageS", report.AtMost, recoveryBound.Seconds())
	r.rep.Target("writtenBackS", report.AtMost, recoveryBound.Seconds())
	for _, name := range []string{"calm", "afterOutage"} {
		r.rep.Target(name+".storeReadsPerS", report.AtMost, maxStoreReads)
		r.rep.Target(name+".storeWritesPerS", report.AtMost, maxStoreWrites)
	}
	return errors.Trace(replaceErr)
}

func (p *phase) replaceAllEntries() error {
	p.measureStoreCalls("calm")
	restore := p.c.SnapshotStore()
	o := cluster.NewOperator(p.rec)
	m, err := p.edit(o, 0, limitEdit(0, firstLimitValue+1, 0))
	if err != nil || m.Outcome != history.Accepted {
		return errors.Errorf("edit with a healthy store was not accepted: %+v, %v", m, err)
	}
	if _, ok := p.awaitRevision(m.Revision, false); !ok {
		return errors.Timeoutf("revision %d in force everywhere", m.Revision)
	}
	p.addTrace(load.TraceLine{Type: load.LineFault, Fault: &load.TraceFault{Action: "down", Target: "store"}})
	p.c.SetStoreFault(cluster.StoreFault{Down: true})
	all := faultStep{name: "replaceAll", role: cluster.Entry}
	for i := range p.deployment.Entries {
		all.targets = append(all.targets, i)
	}
	for _, action := range []string{"kill", "start"} {
		if err := p.applyToAll(all, action); err != nil {
			return err
		}
	}
	if took, ok := p.awaitRevision(m.Revision, true); ok {
		p.run.rep.Figure("replacedInOutageS", took.Seconds())
	}
	time.Sleep(outageDuration)
	p.addTrace(load.TraceLine{Type: load.LineFault, Fault: &load.TraceFault{Action: "restore", Target: "store"}})
	restore()
	p.c.SetStoreFault(cluster.StoreFault{})
	var wg sync.WaitGroup
	wg.Go(func() { p.measureStoreCalls("afterOutage") })
	p.awaitAcceptedEdit(o)
	wg.Wait()
	return nil
}

// awaitRevision waits until the entry instances, or all processes, use a revision or a
// later one, and returns the time that this took. ok is false after restartTimeout.
func (p *phase) awaitRevision(revision uint64, entriesOnly bool) (elapsed time.Duration, ok bool) {
	for begin := p.now(); p.now() < begin+restartTimeout; time.Sleep(pollInterval) {
		behind, entries := 0, 0
		for _, v := range p.c.Processes() {
			if v.Role == cluster.Entry {
				entries++
			}
			if v.Revision < revision && (v.Role == cluster.Entry || !entriesOnly) {
				behind++
			}
		}
		if behind == 0 && entries == p.deployment.Entries {
			return p.now() - begin, true
		}
	}
	return 0, false
}

// awaitAcceptedEdit edits a limit until an edit is accepted, and sets the figure
// writtenBackS. It doesn't set the figure if no edit is accepted within
// restartTimeout.
func (p *phase) awaitAcceptedEdit(o *cluster.Operator) {
	begin := p.now()
	for n := int64(2); p.now() < begin+restartTimeout; n++ {
		m, err := p.edit(o, int(n)%p.deployment.Entries, limitEdit(0, firstLimitValue+n, 0))
		if err == nil && m.Outcome == history.Accepted {
			p.run.rep.Figure("writtenBackS", (p.now() - begin).Seconds())
			return
		}
		time.Sleep(pollInterval)
	}
}

// measureStoreCalls sets the figures of calls to the store per second. A pending watch
// counts as one read per second.
func (p *phase) measureStoreCalls(name string) {
	before := p.c.StoreCalls()
	time.Sleep(storeCallWindow)
	after := p.c.StoreCalls()
	seconds := storeCallWindow.Seconds()
	p.run.rep.Figure(name+".storeReadsPerS", float64(after.Reads-before.Reads)/seconds+float64(after.Watches))
	p.run.rep.Figure(name+".storeWritesPerS", float64(after.Writes-before.Writes)/seconds)
}
