package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/decision/health"
	"github.com/cardamomturn/cardamomturn/internal/decision/indexedheap"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// sizeMemory is how long a worker's size counts after it has left.
const sizeMemory = 10 * time.Minute

// pool is one service: its waiting tasks and its workers. Fairness holds
// within a service, because classes of different services don't compete for
// slots.
type pool struct {
	service string
	queue   *fair.Queue[*task]
	fleet   *health.Fleet
	workers []*worker
	// suspects are the workers that may have to be ejected.
	suspects []*worker
	ready    indexedheap.Heap[*worker] // workers with usable credits
	slots    int
	idle     int // credits of the workers in ready
	bound    []boundCredit
	gone     map[jobapi.Size]time.Duration // sizes of workers that left, and when
	dirty    bool
	owed     int // waiting tasks of classes below their share, at that time
	// toldLast is the position of the last worker told of owed demand.
	toldLast int
	told     int // waiting tasks at the last drain of the actions
	untold   int // sidecars to tell of newer ones
}

// boundCredit is a credit that was granted for a class.
type boundCredit struct {
	// reserved is true if only classes below their share may use the credit; at
	// is the time of its grant.
	reserved bool
	at       time.Duration

	worker *worker
	credit wire.Credit
	class  wire.Class
}

func (m *Machine) pool(service string) *pool {
	p := m.pools[service]
	if p == nil {
		p = &pool{service: service, queue: fair.New[*task](), fleet: health.NewFleet(), gone: map[jobapi.Size]time.Duration{}}
		p.fleet.SetEjectPercent(m.ejectPercent())
		m.pools[service] = p
	}
	return p
}

// fits reports whether a task of the size can run on a worker. A worker that
// states no processors or memory is taken to have enough of them.
func fits(task, worker jobapi.Size) bool {
	return (worker.CPUs == 0 || task.CPUs <= worker.CPUs) &&
		(worker.MemoryMB == 0 || task.MemoryMB <= worker.MemoryMB) &&
		task.Accelerators <= worker.Accelerators
}

// neverRuns reports whether a task is larger than every worker known within
// sizeMemory; false if none is known.
func (p *pool) neverRuns(now time.Duration, tasks []task) bool {
	if len(p.workers) == 0 && len(p.gone) == 0 {
		return false
	}
	p.forgetSizes(now)
	for i := range tasks {
		if i > 0 && tasks[i].size == tasks[i-1].size {
			continue
		}
		if !p.fitsAny(tasks[i].size) {
			return len(p.workers)+len(p.gone) > 0
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
	for s := range p.gone {
		if fits(size, s) {
			return true
		}
	}
	return false
}

// deserted reports whether no worker was known for sizeMemory.
func (p *pool) deserted(now time.Duration) bool {
	p.forgetSizes(now)
	return now > sizeMemory && len(p.workers) == 0 && len(p.gone) == 0
}

func (p *pool) forgetSizes(now time.Duration) {
	for s, at := range p.gone {
		if now-at > sizeMemory {
			delete(p.gone, s)
		}
	}
}

// choose returns the best worker with a credit that the task fits on; one at
// which the task was not started before is the last choice.
func (p *pool) choose(t *task) *worker {
	if len(p.ready) == 0 {
		return nil
	}
	if w := p.ready[0]; fits(t.size, w.backend.Size) && !t.avoids(w.proc) {
		return w
	}
	var best, second *worker
	for _, w := range p.ready {
		switch {
		case !fits(t.size, w.backend.Size):
		case t.avoids(w.proc):
			if second == nil || w.Before(second) {
				second = w
			}
		case best == nil || w.Before(best):
			best = w
		}
	}
	if best != nil {
		return best
	}
	return second
}
