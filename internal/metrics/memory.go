package metrics

import (
	"runtime"
	rtmetrics "runtime/metrics"
)

const liveHeapMetric = "/gc/heap/live:bytes"

// Memory is the memory use of this process.
type Memory struct {
	// LiveHeapBytes is the heap memory that the last garbage collection found live.
	LiveHeapBytes uint64 `json:"liveHeapBytes"`
	Goroutines    int    `json:"goroutines"`
}

// ReadMemory returns the memory use. If runGC is true it runs a garbage collection
// first, so that LiveHeapBytes is current.
func ReadMemory(runGC bool) Memory {
	if runGC {
		runtime.GC()
	}
	sample := []rtmetrics.Sample{{Name: liveHeapMetric}}
	rtmetrics.Read(sample)
	return Memory{LiveHeapBytes: sample[0].Value.Uint64(), Goroutines: runtime.NumGoroutine()}
}
