package placement

import (
	"slices"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// savedLoads holds the load summaries of workers as they were before a plan reserved capacity.
type savedLoads struct {
	workers []*worker
	loads   []wire.Load
}

// save saves the load summary of a worker.
func (s *savedLoads) save(w *worker) {
	s.workers, s.loads = append(s.workers, w), append(s.loads, w.load)
}

// reserve saves the load summary of a worker, which may be nil, and reserves the capacity for a
// task there.
func (s *savedLoads) reserve(t *task, w *worker) {
	if w == nil {
		return
	}
	s.save(w)
	w.reserve(t.job.spec.Steps[t.step].Need, t.job.spec.Rank, t.job.estimate(t.step).Milliseconds())
}

// restore restores the load summaries. A worker that was saved several times gets the first one.
func (s *savedLoads) restore() {
	for i, w := range slices.Backward(s.workers) {
		w.load = s.loads[i]
	}
}
