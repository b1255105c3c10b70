package simulation

import (
	"fmt"
	"math/rand"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const service = "svc"

// entry is a simulated entry instance.
type entry struct {
	sim   *simulator
	id    ident.Process
	m     *placement.Machine
	links map[ident.Process]*link
	timer timer
}

// link queues the batches for one sidecar and sends them one at a time.
type link struct {
	queue    []placement.Batch
	inFlight bool
}

func newEntry(sim *simulator, i int) *entry {
	e := &entry{sim: sim, id: ident.Process{Instance: fmt.Sprint("entry-", i), Incarnation: 1}, links: map[ident.Process]*link{}}
	cfg := sim.workload.Placement
	cfg.Zone, cfg.RemoteFactor, cfg.DecideWaits = "z", sim.workload.RemoteFactor, sim.workload.DecideWaits
	e.m = placement.New(cfg, rand.New(rand.NewSource(sim.workload.Seed+int64(i)+1)))
	for _, w := range sim.workers {
		e.links[w.id] = &link{}
	}
	return e
}

func (e *entry) submit(j *job, spec *work.Job) {
	if refused, ok := e.m.Submit(e.sim.now, spec); !ok {
		e.recordAnswer(placement.JobAnswer{JobID: j.id, Answer: refused})
	}
	e.step()
}

// step carries out the actions of the placement machine.
func (e *entry) step() {
	next := e.m.Tick(e.sim.now)
	for actions := e.m.Actions(); len(actions) > 0; actions = e.m.Actions() {
		for _, a := range actions {
			switch a := a.(type) {
			case placement.Batch:
				l := e.links[a.Sidecar]
				l.queue = append(l.queue, a)
				e.send(l)
			case placement.JobAnswer:
				e.recordAnswer(a)
			case placement.WaitEnded:
				e.sim.recordWait(a)
			}
		}
	}
	e.timer.set(e.sim, next, e.step)
}

// send sends the next batch of a link and processes the reply.
func (e *entry) send(l *link) {
	if l.inFlight || len(l.queue) == 0 {
		return
	}
	s := l.queue[0]
	l.queue = l.queue[1:]
	l.inFlight = true
	e.sim.results.Batches++
	w := e.sim.worker(s.Sidecar)
	if w.lost {
		e.abandonBatch(l, s)
		return
	}
	e.sim.afterNetworkDelay(func() {
		if w.lost {
			e.abandonBatch(l, s)
			return
		}
		w.m.Submit(e.sim.now, e.id, s.Runs)
		for _, r := range s.Stops {
			if !w.m.Stop(e.sim.now, e.id, r) {
				w.reportEnd(e, wire.RunEnd{Run: r, Outcome: work.NotRun})
			}
		}
		w.appliedSequences[e.id] = s.Sequence
		w.step()
		load := w.loadSummary(e)
		e.sim.afterNetworkDelay(func() {
			l.inFlight = false
			e.m.SetLoad(e.sim.now, w.id, load)
			e.send(l)
			e.step()
		})
	})
}

// recordAnswer adds the answer to a job to the results of its class.
func (e *entry) recordAnswer(a placement.JobAnswer) {
	j := e.sim.jobs[a.JobID]
	if j == nil {
		return
	}
	delete(e.sim.jobs, a.JobID)
	j.result.Runs += a.Stats.Runs
	j.result.AwayRuns += a.Stats.AwayRuns
	if a.Answer.State == work.Completed {
		j.result.responseTime += e.sim.now - j.submittedAt
	} else {
		j.result.responseTime += timeoutFactor * j.objective
	}
	elapsed := e.sim.now - j.submittedAt
	switch {
	case a.Answer.State == work.Refused:
		j.result.Refused++
	case a.Answer.State != work.Completed:
		j.result.Failed++
	case elapsed <= j.objective:
		j.result.InTime++
		j.result.earnedValue += j.value
		j.result.CPUSeconds += j.cpuSeconds
	default:
		j.result.Late++
		if elapsed <= lateFactor*j.objective {
			j.result.earnedValue += lateValueFactor * j.value
		}
	}
}
