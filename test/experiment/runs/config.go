package runs

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
	configEdits     = 2400
	configOperators = 4
	configLimits    = 20
	configLoad      = 0.2
	configInForce   = 2 * time.Second
	// conditionalShare of the edits are conditional on a version read before.
	conditionalShare = 0.75
)

// Times of the restarts as shares of the duration.
const (
	configStop = 0.3
	configKill = 0.6
)

// limitEdit is an edit of the queue limit "edit-<i>" of a kind that has work.
// Its values are above any queue, so that the edits don't change the load, but
// an entry instance that holds no share of them yet refuses the kind.
func limitEdit(i int, value int64, expect uint64) cluster.Edit {
	return cluster.Edit{
		Type: resource.TypeLimit, Name: fmt.Sprintf("edit-%d", i), ExpectedVersion: expect, Limit: &value,
		Spec: resource.LimitSpec{Kind: "deposit-confirm", Amounts: resource.Amounts{Queue: &value}},
	}
}

// config lets operators race while entry instances restart.
func config(r *run) error {
	d := load.Safari()
	p, err := r.start(d, withEditLimits(d, configLimits))
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var value atomic.Int64
	value.Store(editBase)
	for n := range configOperators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.operate(rand.New(rand.NewPCG(r.Seed, uint64(100+n))), &value)
		}()
	}
	var failed error
	wg.Add(1)
	go func() {
		defer wg.Done()
		failed = p.restarts()
	}()
	p.drive(load.Generate(d, load.Spec{Duration: r.Duration, Utilization: configLoad, MaxTasks: churnMaxTasks}, r.Seed))
	wg.Wait()
	time.Sleep(configInForce)
	p.checkNothingLost(configLimits)
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
	r.rep.Target("inForceP99S", report.AtMost, configInForce.Seconds())
	return errors.Trace(failed)
}

// operate sends one operator's share of the edits, paced over the run.
func (p *phase) operate(rnd *rand.Rand, value *atomic.Int64) {
	o := cluster.NewOperator(p.rec)
	const count = configEdits / configOperators
	for n := range count {
		p.sleepUntil(scale(p.run.Duration, float64(n)/count))
		i, entry := rnd.IntN(configLimits), rnd.IntN(p.d.Entries)
		var expect uint64
		if rnd.Float64() < conditionalShare {
			v, err := o.Version(p.c.OperatorAddress(entry), resource.TypeLimit, limitEdit(i, 0, 0).Name)
			if err != nil {
				continue // the entry instance is restarting
			}
			expect = v
		}
		// A refused edit is part of the race; accepted ones are recorded.
		_, _ = p.edit(o, entry, limitEdit(i, value.Add(1), expect))
	}
}

// restarts drains one entry instance and kills another.
func (p *phase) restarts() error {
	for _, s := range []struct {
		at     float64
		action string
		entry  int
	}{{configStop, "stop", 0}, {configKill, "kill", 1}} {
		p.sleepUntil(scale(p.run.Duration, s.at))
		if err := p.fault(s.action, cluster.Entry, s.entry); err != nil {
			return err
		}
		if err := p.fault("start", cluster.Entry, s.entry); err != nil {
			return err
		}
	}
	return nil
}

// checkNothingLost reads each limit from each entry instance: its version
// must be at least that of the newest accepted edit.
func (p *phase) checkNothingLost(limits int) {
	newest := map[string]uint64{}
	for _, m := range p.rec.History().Edits {
		if m.Outcome == history.Accepted {
			newest[m.Resource] = max(newest[m.Resource], m.Revision)
		}
	}
	o := cluster.NewOperator(p.rec)
	for i := range limits {
		name := limitEdit(i, 0, 0).Name
		for entry := range p.d.Entries {
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

// inForceTimes returns for each accepted edit the time until all processes
// that lived then used it, and the number of edits for which one never did.
func inForceTimes(h *history.History) (times []time.Duration, never int) {
	type life struct {
		up, down time.Duration
		seen     []history.Event
	}
	lives := map[string]*life{}
	for _, e := range h.Events {
		switch e.Type {
		case history.Up:
			lives[e.Process] = &life{up: e.At, down: h.EndedAt + 1}
		case history.Down:
			lives[e.Process].down = e.At
		case history.Observe:
			lives[e.Process].seen = append(lives[e.Process].seen, e)
		}
	}
	for _, m := range h.Edits {
		if m.Outcome != history.Accepted {
			continue
		}
		var last time.Duration
		everywhere := true
		for _, l := range lives {
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
