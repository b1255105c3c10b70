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

// BenchmarkSubmitRack measures the time for a job with and without a preferred rack, without the
// remote factor and with one.
func BenchmarkSubmitRack(b *testing.B) {
	const workers, numRacks, tasks = 910, 30, 8
	racks := make([]string, workers)
	for i := range racks {
		racks[i] = fmt.Sprint("rack-", i%numRacks)
	}
	for _, factor := range []float64{0, 1.5} {
		for _, rack := range []string{"", "rack-0"} {
			b.Run(fmt.Sprintf("factor=%v/rack=%s", factor, rack), func(b *testing.B) {
				h := newRackHarness(nil, factor, racks...)
				for i := 0; b.Loop(); i++ {
					job := newJobSpec(fmt.Sprint(i), tasks, 60*ms)
					job.Steps[0].PreferredRack = rack
					h.m.Submit(h.now, job)
					h.m.CallerLeft(h.now, job.ID)
					h.m.Actions()
				}
			})
		}
	}
}
