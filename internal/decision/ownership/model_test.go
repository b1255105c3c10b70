package ownership_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const ms = time.Millisecond

// guards are the rules of the model that a test can take out, to show that the model
// finds the fault which the rule prevents.
type guards struct {
	// batchAge: a sidecar starts no run of a batch that is too old.
	// ownerTimeout: a sidecar stops the runs of a silent owner.
	// leftovers: a new sidecar process stops the runs of its predecessor first.
	// pause: an entry instance that was paused or cut off gives up its jobs.
	// leaseLimit: leases end a bounded time after the newest contact with the owners.
	// droppedOwners: that time counts for dropped owners until their runs have ended, too.
	batchAge, ownerTimeout, leftovers, pause, leaseLimit, droppedOwners bool
}

var allGuards = guards{true, true, true, true, true, true}

// world is one run of the model in virtual time: callers, entry instances, sidecars with
// workers, and a network between them that delays, holds back and loses messages.
type world struct {
	guards   guards
	rnd      *rand.Rand
	now      time.Duration
	sequence int
	events   eventHeap
	entries  []*entryProcess
	sidecars []*sidecarProcess
	workers  []*worker
	jobs     map[string]*callerJob
	// unansweredOrders is the share of the calls to workers that get no answer. The worker
	// carries them out at once, 2 to 12 s later or never.
	unansweredOrders float64
	// lateStops lets the workers carry out all stop calls 2 to 12 s late, without an answer.
	lateStops bool
	// workerRestarts makes restarts of workers, under the same ID, one of the random faults.
	workerRestarts bool
	// cut counts the faults that hold back messages, by sender and receiver.
	cut  map[[2]string]int
	held []heldMessage
	// violations describe the broken rules.
	violations []string
	completed  int
	// trace describes the faults and what happened to the jobs.
	trace []string
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// traceOf returns the end of the trace that concerns a job or faults.
func (w *world) traceOf(job string) string {
	const maxLines = 40
	lines := slices.DeleteFunc(slices.Clone(w.trace), func(line string) bool {
		return strings.Contains(line, "job-") && !strings.Contains(line, job+" ")
	})
	return strings.Join(lines[max(0, len(lines)-maxLines):], "\n")
}

type heldMessage struct {
	link    [2]string
	deliver func()
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now + d, w.sequence, run})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end && len(w.violations) == 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) random(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rnd.Int63n(int64(high-low)+1))
}

func (w *world) violate(run work.RunID, format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...)+"\n"+w.traceOf(run.Task.Job))
}

// process is a process that can be paused and killed. What happens to it during a pause
// is handled when it wakes, in any order.
type process struct {
	world  *world
	id     ident.Process
	dead   bool
	paused bool
	later  []func()
}

func (p *process) do(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.later = append(p.later, f)
	default:
		f()
	}
}

func (p *process) after(d time.Duration, f func()) { p.world.after(d, func() { p.do(f) }) }

func (p *process) resume() {
	p.paused = false
	later := p.later
	p.later = nil
	p.world.rnd.Shuffle(len(later), func(i, j int) { later[i], later[j] = later[j], later[i] })
	for _, f := range later {
		p.do(f)
	}
}

// send delivers a message to a process after the delay of the network. While the link is
// cut the message is held back.
func (w *world) send(from, to string, receiver *process, f func()) {
	w.after(w.random(ms, 6*ms), func() {
		link := [2]string{from, to}
		if w.cut[link] > 0 {
			w.held = append(w.held, heldMessage{link, func() { receiver.do(f) }})
			return
		}
		receiver.do(f)
	})
}

// setCut cuts or heals a link. When it heals, the messages held back arrive.
func (w *world) setCut(from, to string, on bool) {
	link := [2]string{from, to}
	if on {
		w.cut[link]++
		return
	}
	if w.cut[link]--; w.cut[link] > 0 {
		return
	}
	var due []heldMessage
	w.held = slices.DeleteFunc(w.held, func(h heldMessage) bool {
		if h.link == link {
			due = append(due, h)
		}
		return h.link == link
	})
	for _, h := range due {
		w.after(w.random(0, 40*ms), h.deliver)
	}
}

const callTimeout = 350 * ms

// callResult is the outcome of a call: answered, refused because the process has ended,
// or lost.
type callResult uint8

const (
	answered callResult = iota
	refused
	lost
)

// call makes a remote call. handle runs at the receiver, done at the caller.
func (w *world) call(from, to *process, handle func(), done func(callResult)) {
	finished := false
	finish := func(r callResult) {
		if !finished {
			finished = true
			done(r)
		}
	}
	from.after(callTimeout, func() { finish(lost) })
	a, b := from.id.Instance, to.id.Instance
	if to.dead && w.cut[[2]string{a, b}]+w.cut[[2]string{b, a}] == 0 {
		from.after(w.random(ms, 6*ms), func() { finish(refused) })
		return
	}
	w.send(a, b, to, func() {
		handle()
		w.send(b, a, from, func() { finish(answered) })
	})
}

// worker runs tasks under leases. It outlives the processes of its sidecar.
type worker struct {
	world   *world
	index   int
	running map[work.RunID]*runningTask
	highest map[work.TaskID]int
	ended   []endedTask
	token   int64 // highest fencing token seen
	// incarnation counts the processes of the worker.
	incarnation int64
}

type runningTask struct {
	leaseEnd time.Duration
}

type endedTask struct {
	run     work.RunID
	outcome work.Outcome
}

const lease = 950 * ms

// start starts a run, and checks that no other run of the task is running anywhere.
func (k *worker) start(token int64, run work.RunID, owner ident.Process, leaseEnd, duration time.Duration) occupancy.StartResult {
	switch {
	case token < k.token || leaseEnd <= k.world.now:
		return occupancy.Rejected
	case run.Attempt <= k.highest[run.Task]:
		return occupancy.Outdated
	}
	k.token, k.highest[run.Task] = token, run.Attempt
	for _, other := range k.world.workers {
		for running := range other.running {
			if running.Task == run.Task {
				k.world.violate(run, "worker %d starts attempt %d of %v while worker %d runs attempt %d", k.index, run.Attempt, run.Task, other.index, running.Attempt)
			}
		}
	}
	k.world.note("%s worker %d starts task %d attempt %d of %v", run.Task.Job, k.index, run.Task.Index, run.Attempt, owner)
	t := &runningTask{leaseEnd: leaseEnd}
	k.running[run] = t
	k.world.jobs[run.Task.Job].started(run, owner)
	k.world.after(duration, func() {
		if k.running[run] == t {
			k.end(run, work.Done)
		}
	})
	k.watchLease(run, t)
	return occupancy.Accepted
}

func (k *worker) watchLease(run work.RunID, t *runningTask) {
	k.world.after(t.leaseEnd-k.world.now, func() {
		switch {
		case k.running[run] != t:
		case k.world.now >= t.leaseEnd:
			k.end(run, work.Lost)
		default:
			k.watchLease(run, t)
		}
	})
}

func (k *worker) end(run work.RunID, outcome work.Outcome) {
	k.world.note("%s worker %d ends task %d attempt %d: %v", run.Task.Job, k.index, run.Task.Index, run.Attempt, outcome)
	delete(k.running, run)
	k.ended = append(k.ended, endedTask{run, outcome})
}
