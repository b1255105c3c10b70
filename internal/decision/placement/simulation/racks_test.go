package simulation

import (
	"fmt"

	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
)

// chooseRack sets the preferred rack of a job.
func (sim *simulator) chooseRack(src *jobSource, j *job) {
	if sim.workload.Racks == 0 {
		return
	}
	rack := 0
	if src.random.Float64() >= src.HotShare {
		rack = src.random.Intn(sim.workload.Racks)
	}
	j.rack = fmt.Sprint("rack-", rack)
}

// loseFirstRack ends the workers of the first rack and their sidecars. Their ports refuse
// connections from then on.
func (sim *simulator) loseFirstRack() {
	for _, w := range sim.workers {
		if w.rack == "rack-0" {
			w.lost = true
			clear(w.running)
		}
	}
}

// abandonBatch tells the placement machine that a sidecar has ended.
func (e *entry) abandonBatch(l *link, batch placement.Batch) {
	l.inFlight = true
	e.sim.afterNetworkDelay(func() {
		l.inFlight = false
		e.m.BatchAbandoned(e.sim.now, batch)
		e.send(l)
		e.step()
	})
}

// recordWait counts the end of a wait for a rack.
func (sim *simulator) recordWait(a placement.WaitEnded) {
	r := sim.results.Classes[a.Queue]
	if r.Waits == nil {
		r.Waits = map[placement.WaitOutcome]int{}
	}
	r.Waits[a.Outcome]++
}
