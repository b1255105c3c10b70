package placement

import (
	"fmt"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// BenchmarkSubmit measures the time for which a job of the largest size, admitted or
// refused, blocks the other jobs of an entry instance.
func BenchmarkSubmit(b *testing.B) {
	for _, workers := range []int{11, 240} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			h := newHarness(nil, workers)
			for i := 0; b.Loop(); i++ {
				job := newJobSpec(fmt.Sprint(i), work.MaxTasks, 60*ms)
				h.m.Submit(h.now, job)
				h.m.CallerLeft(h.now, job.ID)
				h.m.Actions()
			}
		})
	}
}
