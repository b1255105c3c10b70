package experiments

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	configEdits        = 2400
	configOperators    = 4
	configLimitCount   = 20
	configLoad         = 0.2
	configInForceBound = 2 * time.Second
	// conditionalShare is the share of the edits that are conditional on a version
	// read before.
	conditionalShare = 0.75
)

// Times of the restarts as shares of the duration.
const (
	configStopAt = 0.3
	configKillAt = 0.6
)

// limitEdit returns an edit of the queue limit "edit-<i>" of a kind that has jobs.
// The values of the experiments are above any queue length, so that the edits don't
// change the load. An entry instance that has no share of the limit yet refuses jobs
// of the kind.
func limitEdit(i int, value int64, expect uint64) cluster.Edit {
	return cluster.Edit{
		Type: resource.TypeLimit, Name: fmt.Sprintf("edit-%d", i), ExpectedVersion: expect, Limit: &value,
		Spec: resource.LimitSpec{Kind: "deposit-confirm", Amounts: resource.Amounts{Queue: &value}},
	}
}

// config runs operators that edit the same limits concurrently while entry
// instances restart.
func config(r *run) error {
	d := load.Safari()
	p, err := r.start(d, withEditLimits(d, configLimitCount))
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var value atomic.Int64
	value.Store(firstLimitValue)
	for n := range configOperators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.submitEdits(rand.New(rand.NewPCG(r.Seed, uint64(100+n))), &value)
		}()
	}
	var restartErr error
	wg.Add(1)
	go func() {
		defer wg.Done()
		restartErr = p.restartEntries()
	}()
	p.submitJobs(load.Generate(d, load.Spec{Duration: r.Duration, Utilization: configLoad, MaxTasks: churnMaxTasks}, r.Seed))
	wg.Wait()
	time.Sleep(configInForceBound)
	p.checkNoLostEdits(configLimitCount)
	h, err := p.close()
	if err != nil {
		return err
	}
	times, never := inForceTimes(h)
	r.rep.Sizes["accepted"] = float64(len(times) + never)
	r.rep.Figure("neverInForce", float64(never))
	r.rep.Target("neverInForce", report.AtMost, 0)
	if len(times) > 0 {
		r.rep.Figure("inForceP50S", report.Quantile(times, 0.5).Seconds())
		r.rep.Figure("inForceP99S", report.Quantile(times, 0.99).Seconds())
	}
	r.rep.Target("inForceP99S", report.AtMost, configInForceBound.Seconds())
	return errors.Trace(restartErr)
}

// submitEdits sends one operator's share of the edits at regular intervals over the
// run.
func (p *phase) submitEdits(rnd *rand.Rand, value *atomic.Int64) {
	o := cluster.NewOperator(p.rec)
	const count = configEdits / configOperators
	for n := range count {
		p.sleepUntil(scale(p.run.Duration, float64(n)/count))
		i, entry := rnd.IntN(configLimitCount), rnd.IntN(p.deployment.Entries)
		var expect uint64
		if rnd.Float64() < conditionalShare {
			v, err := o.Version(p.c.OperatorAddress(entry), resource.TypeLimit, limitEdit(i, 0, 0).Name)
			if err != nil {
				continue // the entry instance is restarting
			}
			expect = v
		}
		// An error means that the edit was refused and has no effect. Apply records
		// the outcomes of all other edits.
		_, _ = p.edit(o, entry, limitEdit(i, value.Add(1), expect))
	}
}

// restartEntries drains one entry instance, kills another, and starts each again.
func (p *phase) restartEntries() error {
	for _, s := range []struct {
		at     float64
		action string
		entry  int
	}{{configStopAt, "stop", 0}, {configKillAt, "kill", 1}} {
		p.sleepUntil(scale(p.run.Duration, s.at))
		if err := p.applyFault(s.action, cluster.Entry, s.entry); err != nil {
			return err
		}
		if err := p.applyFault("start", cluster.Entry, s.entry); err != nil {
			return err
		}
	}
	return nil
}

// checkNoLostEdits reads each limit from each entry instance and adds a violation if
// the read fails or the version is lower than the revision of the newest accepted edit.
func (p *phase) checkNoLostEdits(limits int) {
	newest := map[string]uint64{}
	for _, m := range p.rec.History().Edits {
		if m.Outcome == history.Accepted {
			newest[m.Resource] = max(newest[m.Resource], m.Revision)
		}
	}
	o := cluster.NewOperator(p.rec)
	for i := range limits {
		name := limitEdit(i, 0, 0).Name
		for entry := range p.deployment.Entries {
			v, err := o.Version(p.c.OperatorAddress(entry), resource.TypeLimit, name)
			want := newest[string(resource.TypeLimit)+"/"+name]
			if err != nil || v < want {
				p.run.rep.Violations = append(p.run.rep.Violations, history.Violation{
					Invariant: "P8",
					Detail:    fmt.Sprintf("%s at entry instance %d has version %d, accepted was %d: %v", name, entry, v, want, err),
				})
			}
		}
	}
}

// inForceTimes returns, for each accepted edit, the time until the edit was in force
// at all processes that ran when it was accepted, or until they ended. It returns no
// time for an edit that one of these processes, still running at the end of the
// history, never had in force; never is the number of these edits.
func inForceTimes(h *history.History) (times []time.Duration, never int) {
	type lifetime struct {
		up, down time.Duration
		seen     []history.Event
	}
	lifetimes := map[string]*lifetime{}
	for _, e := range h.Events {
		switch e.Type {
		case history.Up:
			lifetimes[e.Process] = &lifetime{up: e.At, down: h.EndedAt + 1}
		case history.Down:
			lifetimes[e.Process].down = e.At
		case history.Observe:
			lifetimes[e.Process].seen = append(lifetimes[e.Process].seen, e)
		}
	}
	for _, m := range h.Edits {
		if m.Outcome != history.Accepted {
			continue
		}
		var last time.Duration
		everywhere := true
		for _, l := range lifetimes {
			if l.up > m.Return || l.down <= m.Return {
				continue
			}
			at := l.down
			for _, e := range l.seen {
				if e.Revision >= m.Revision {
					at = e.At
					break
				}
			}
			if at > h.EndedAt {
				everywhere = false
			}
			last = max(last, at-m.Return)
		}
		if everywhere {
			times = append(times, last)
		} else {
			never++
		}
	}
	return times, never
}
