package dispatch

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// BenchmarkCycle measures submit, dispatch, reply and result of batched jobs;
// one operation is one task.
func BenchmarkCycle(b *testing.B) {
	const workers, slots, tasks = 30, 8, 30
	m := newMachine(nil)
	for w := range workers {
		attach(m, 0, process(w), slots)
		m.Grant(0, process(w), grants(w*slots, slots))
	}
	now, credit, jobs, done := time.Duration(0), workers*slots, 0, 0
	results := make([]wire.TaskResult, 0, 256)
	codes := make([]wire.StartCode, 256)
	b.ReportAllocs()
	for done < b.N {
		now += time.Millisecond
		if m.pools["s"].queue.Waiting() < 500 {
			for range 8 {
				jobs++
				req := request([]string{"quick", "long"}[jobs%2], tasks)
				if a := m.Submit(now, id(jobs), req); a.State != jobapi.JobQueued {
					b.Fatal(a)
				}
			}
		}
		m.Tick(now)
		for _, a := range m.Actions() {
			d, ok := a.(Dispatch)
			if !ok {
				continue
			}
			n := len(d.Starts)
			m.DispatchReply(now, d.Sidecar, d.Starts, codes[:n])
			results = results[:0]
			for _, s := range d.Starts {
				results = append(results, wire.TaskResult{Task: s.Task, Credit: s.Credit, State: jobapi.TaskCompleted, RunMs: 10})
			}
			m.Results(now, d.Sidecar, results)
			m.Grant(now, d.Sidecar, grants(credit, n))
			credit += n
			done += n
		}
	}
	b.ReportMetric(float64(done)/b.Elapsed().Seconds(), "tasks/s")
}
