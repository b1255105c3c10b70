package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/decision/health"
	"github.com/cardamomturn/cardamomturn/internal/decision/indexedheap"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// sizeRetention is the time for which the size of a worker is remembered after
// the worker has left.
const sizeRetention = 10 * time.Minute

// pool holds the waiting tasks and the workers of one service. Fair queueing
// applies within a service, because classes of different services don't compete
// for slots.
type pool struct {
	service string
	queue   *fair.Queue[*task]
	fleet   *health.Fleet
	workers []*worker
	// suspects lists the workers that are suspect according to health.Worker.
	suspects          []*worker
	ready             indexedheap.Heap[*worker] // workers with usable credits
	slots             int
	idleCredits       int // usable credits of the workers in ready
	assigned          []assignedCredit
	departedSizes     map[jobapi.Size]time.Duration // sizes of workers that left, with the time
	dirty             bool
	waitingBelowShare int // waiting tasks of classes below their share, at the last count
	// lastDemandIndex is the index of the last worker that got a demand message
	// for classes below their share.
	lastDemandIndex int
	lastWaiting     int // waiting tasks at the last call of Actions
	unannounced     int // newer waiting tasks for which no demand message was sent
}

// assignedCredit is a credit that was granted for a class or that is reserved.
type assignedCredit struct {
	// reserved is true if only the class that the credit was granted for and
	// classes below their share may use the credit.
	reserved  bool
	grantedAt time.Duration

	worker *worker
	credit wire.Credit
	class  wire.Class
}

func (m *Machine) pool(service string) *pool {
	p := m.pools[service]
	if p == nil {
		p = &pool{service: service, queue: fair.New[*task](), fleet: health.NewFleet(), departedSizes: map[jobapi.Size]time.Duration{}}
		p.fleet.SetEjectPercent(m.ejectPercent())
		m.pools[service] = p
	}
	return p
}

// fits reports whether a task can run on a worker of the given size. A worker
// with zero CPUs or zero memory in its size is assumed to have enough of them.
func fits(task, worker jobapi.Size) bool {
	return (worker.CPUs == 0 || task.CPUs <= worker.CPUs) &&
		(worker.MemoryMB == 0 || task.MemoryMB <= worker.MemoryMB) &&
		task.Accelerators <= worker.Accelerators
}

// neverRuns reports whether one of the tasks fits on no worker that is attached or
// has left within sizeRetention. It returns false if there is no such worker.
func (p *pool) neverRuns(now time.Duration, tasks []task) bool {
	if len(p.workers) == 0 && len(p.departedSizes) == 0 {
		return false
	}
	p.dropOldSizes(now)
	for i := range tasks {
		if i > 0 && tasks[i].size == tasks[i-1].size {
			continue
		}
		if !p.fitsAny(tasks[i].size) {
			return len(p.workers)+len(p.departedSizes) > 0
		}
	}
	return false
}

func (p *pool) fitsAny(size jobapi.Size) bool {
	for _, w := range p.workers {
		if fits(size, w.backend.Size) {
			return true
		}
	}
	for s := range p.departedSizes {
		if fits(size, s) {
			return true
		}
	}
	return false
}

// lacksWorkers reports whether no worker was attached during the last
// sizeRetention. It returns false until the process has run for that time.
func (p *pool) lacksWorkers(now time.Duration) bool {
	p.dropOldSizes(now)
	return now > sizeRetention && len(p.workers) == 0 && len(p.departedSizes) == 0
}

func (p *pool) dropOldSizes(now time.Duration) {
	for s, at := range p.departedSizes {
		if now-at > sizeRetention {
			delete(p.departedSizes, s)
		}
	}
}

// chooseWorker returns the best ready worker on which the task fits. It chooses a
// worker whose sidecar has reported the task as not run only if there is no
// other.
func (p *pool) chooseWorker(t *task) *worker {
	if len(p.ready) == 0 {
		return nil
	}
	if w := p.ready[0]; fits(t.size, w.backend.Size) && !t.failedToStartAt(w.process) {
		return w
	}
	var best, fallback *worker
	for _, w := range p.ready {
		switch {
		case !fits(t.size, w.backend.Size):
		case t.failedToStartAt(w.process):
			if fallback == nil || w.Before(fallback) {
				fallback = w
			}
		case best == nil || w.Before(best):
			best = w
		}
	}
	if best != nil {
		return best
	}
	return fallback
}
