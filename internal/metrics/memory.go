package metrics

import (
	"runtime"
	rtmetrics "runtime/metrics"
)

const liveHeap = "/gc/heap/live:bytes"

// Memory is the memory use of this process.
type Memory struct {
	// LiveHeapBytes is what the last garbage collection found in use.
	LiveHeapBytes uint64 `json:"liveHeapBytes"`
	Goroutines    int    `json:"goroutines"`
}

// ReadMemory returns the memory use. With collect it runs a garbage collection
// first, so that the value is current.
func ReadMemory(collect bool) Memory {
	if collect {
		runtime.GC()
	}
	sample := []rtmetrics.Sample{{Name: liveHeap}}
	rtmetrics.Read(sample)
	return Memory{LiveHeapBytes: sample[0].Value.Uint64(), Goroutines: runtime.NumGoroutine()}
}
