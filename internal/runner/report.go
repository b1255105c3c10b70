package runner

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/event"
)

// Attach begins to look at the worker at an address before it has reported, so
// that what an earlier process left at work there is stopped early.
func (r *Runner) Attach(address string) {
	if address == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Address = address
	r.startDriver(address)
}

// Reported takes a worker's report about itself. Reports of earlier lives and
// reports that overtook each other are ignored. When it returns, no run starts
// any more on a worker that drains.
func (r *Runner) Reported(p Report) {
	now := r.enter()
	defer r.leave(now)
	old := r.report
	switch {
	case p.Born < old.Born:
		return
	case p.ID == old.ID && p.Born == old.Born && p.Sequence <= old.Sequence:
		return
	}
	r.reported = now
	r.report = p
	r.left = false
	if r.driver == nil || p.Address != old.Address {
		r.startDriver(p.Address)
	}
	if p.ID != old.ID || p.Born != old.Born {
		r.driver.seen = 0
		r.driver.contact = false
	}
	r.m.SetWorker(now, occupancy.Worker{ID: p.ID, Incarnation: p.Born, Capacity: p.Capacity})
	if p.ID != old.ID || p.Born != old.Born || p.Draining != old.Draining {
		event.LogRateLimited(event.WorkerChanged, "worker", p.ID, "born", p.Born, "service", p.Service, "milliCPU", p.Capacity.MilliCPU,
			"memoryMB", p.Capacity.MemoryMB, "draining", p.Draining, "before", old.ID)
		r.driver.poke()
	}
	r.refresh(now)
	for _, l := range r.links {
		if p.ID != old.ID || p.Draining != old.Draining {
			l.poke()
		}
	}
}

// Left says that the worker ends.
func (r *Runner) Left(id string) {
	now := r.enter()
	defer r.leave(now)
	if id != r.report.ID {
		return
	}
	r.left = true
	event.LogRateLimited(event.WorkerChanged, "worker", id, "left", true)
	r.refresh(now)
}

// answeredBy notes the life of the worker that answered a look; mu is held. A
// life that has not reported yet may be of another kind: it gets no runs before
// its report tells its capacity.
func (r *Runner) answeredBy(now time.Duration, born int64) {
	if born == 0 || born == r.life {
		return
	}
	r.life = born
	if born == r.report.Born {
		return
	}
	event.LogRateLimited(event.WorkerChanged, "worker", r.report.ID, "born", born, "bornBefore", r.report.Born, "reported", false)
	r.driver.seen = 0
	r.m.SetWorker(now, occupancy.Worker{Incarnation: born})
}

// refresh opens or closes the worker for new runs; mu is held.
func (r *Runner) refresh(now time.Duration) {
	heard := r.report.ID != "" && r.report.Born == r.life && now-r.reported < reportsMissed*r.cfg.ReportInterval
	r.m.SetWorkerAvailable(now, heard && r.driver != nil && r.driver.contact && r.driver.clockKnown && !r.report.Draining && !r.left)
}
