package simulation

import (
	"container/heap"
	"math/rand"
	"time"
)

// simulator is one run of the simulation.
type simulator struct {
	workload Workload
	// networkRandom is the random source of the network delays and of the first times
	// of heartbeats and polls. It is separate from the sources of the jobs, so that
	// the jobs do not depend on the decisions of the state machines.
	networkRandom *rand.Rand
	now           time.Duration
	sequence      int
	events        eventHeap
	entries       []*entry
	workers       []*worker
	jobs          map[string]*job
	results       Results
}

type job struct {
	id          string
	result      *ClassResult
	value       float64
	submittedAt time.Duration
	objective   time.Duration
	runTimes    []time.Duration // by task
	cpuSeconds  float64         // of all tasks, at speed 1
	rack        string          // preferred rack, empty for none
}

// Run simulates a workload and returns the results.
func Run(workload Workload) Results {
	sim := &simulator{workload: workload, networkRandom: rand.New(rand.NewSource(workload.Seed)), jobs: map[string]*job{}}
	sim.results.Classes = map[string]*ClassResult{}
	for i := range workload.Workers {
		sim.workers = append(sim.workers, newWorker(sim, i))
	}
	for i := range workload.EntryInstances {
		sim.entries = append(sim.entries, newEntry(sim, i))
	}
	for _, w := range sim.workers {
		w.open()
	}
	sim.scheduleDepartures()
	if workload.LostAt > 0 {
		sim.schedule(workload.LostAt, sim.loseFirstRack)
	}
	for i := range workload.Classes {
		class := &workload.Classes[i]
		sim.results.Classes[class.Name] = &ClassResult{}
		sim.scheduleArrival(&jobSource{JobClass: class, random: rand.New(rand.NewSource(workload.Seed + int64(i)<<32))}, time.Second)
	}
	for sim.events.Len() > 0 && sim.now < workload.Duration+10*time.Second {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	for _, r := range sim.results.Classes {
		sim.results.All.add(r)
	}
	return sim.results
}

// scheduleDepartures makes workers stop accepting runs at the times of the departures.
func (sim *simulator) scheduleDepartures() {
	const step = 7 // so that workers of all sizes and speeds leave
	for i, at := range sim.workload.Departures {
		w := sim.workers[step*i%len(sim.workers)]
		sim.schedule(at, func() {
			w.m.SetWorkerAvailable(sim.now, false)
			w.step()
		})
	}
}

// schedule runs a function at a time, or now if the time has passed.
func (sim *simulator) schedule(at time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{max(at, sim.now), sim.sequence, run})
}

func (sim *simulator) scheduleAfter(delay time.Duration, run func()) {
	sim.schedule(sim.now+delay, run)
}

// afterNetworkDelay runs a function after a random delay of a message between two
// processes.
func (sim *simulator) afterNetworkDelay(run func()) {
	sim.scheduleAfter(sim.workload.NetworkDelay/2+time.Duration(sim.networkRandom.Int63n(int64(sim.workload.NetworkDelay)+1)), run)
}

// event is a function that runs at a time. Events at the same time run in the order
// of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// timer runs a function at the earliest time that was set.
type timer struct{ due time.Duration }

func (t *timer) set(sim *simulator, at time.Duration, run func()) {
	if at <= sim.now || t.due > sim.now && t.due <= at {
		return
	}
	t.due = at
	sim.schedule(at, func() {
		if t.due == at {
			t.due = 0
			run()
		}
	})
}
