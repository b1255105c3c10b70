package metrics

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkNewClass measures the memory for the metrics of one team and kind with
// all histograms and one label value of each Counters in use.
func BenchmarkNewClass(b *testing.B) {
	r := New(Options{Role: "entry", MaxClasses: b.N})
	defer r.Close()
	b.ReportAllocs()
	for i := range b.N {
		c := r.Class(fmt.Sprint("team", i), "kind")
		c.Response.Record(time.Millisecond)
		c.Run.Record(time.Millisecond)
		c.Wait.Record(time.Millisecond)
		c.Jobs.Add("complete", 1)
		c.Tasks.Add("completed", 1)
		c.Refused.Add("deadline", 1)
	}
}

// BenchmarkRecord measures the cost of recording one task's metrics on the request
// path.
func BenchmarkRecord(b *testing.B) {
	r := New(Options{Role: "entry"})
	defer r.Close()
	b.ReportAllocs()
	for range b.N {
		c := r.Class("team", "kind")
		c.Run.Record(30 * time.Millisecond)
		c.Wait.Record(time.Millisecond)
		c.Tasks.Add("completed", 1)
	}
}
