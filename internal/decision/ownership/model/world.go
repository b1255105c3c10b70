// Package model plays callers, entry instances, sidecars and workers in virtual time on the
// state machines of packages placement, ownership and occupancy, and checks that no task
// has two runs at a time. A world draws its delays and faults at random, or is one of
// those that Explore tries in turn. Only tests and programs under test/ use it.
package model

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const ms = time.Millisecond

// world is one run of the model in virtual time: callers, entry instances, sidecars with
// workers, and a network between them that delays, holds back and loses messages.
type world struct {
	guards   guards
	rnd      chance
	now      time.Duration
	sequence int
	// clockStep is the sum of the steps of the time of day.
	clockStep time.Duration
	events    eventHeap
	entries   []*entryProcess
	sidecars  []*sidecarProcess
	workers   []*worker
	jobs      map[string]*callerJob
	// cut counts the faults that hold back messages, by sender and receiver.
	cut  map[[2]string]int
	held []heldMessage
	// violations describe the broken rules.
	violations []string
	completed  int
	// trial is nil in a world with random faults.
	trial *trial
	// quiet leaves out the trace.
	quiet bool
	// trace describes the faults and what happened to the jobs.
	trace []string
}

func (w *world) note(format string, args ...any) {
	if w.quiet {
		return
	}
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
	for len(w.events) > 0 && w.events[0].at <= end && len(w.violations) == 0 && (w.trial == nil || !w.trial.void) {
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
	// closedUntil is the time until which the process refuses connections although it lives.
	closedUntil time.Duration
}

// closePort lets a process refuse connections for a time, while those that it opens itself work.
func (p *process) closePort(d time.Duration) {
	p.world.note("%v refuses connections for %v", p.id, d)
	p.closedUntil = p.world.now + d
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
func (w *world) send(kind messageKind, from, to string, receiver *process, f func()) {
	w.after(w.random(ms, 6*ms), func() {
		w.pass(kind, func() {
			w.deliver([2]string{from, to}, func() { receiver.do(f) })
		})
	})
}

// deliver delivers a message that has passed a link, or holds it back while the link is
// cut.
func (w *world) deliver(link [2]string, deliver func()) {
	if w.cut[link] > 0 {
		w.held = append(w.held, heldMessage{link, deliver})
		return
	}
	deliver()
}

// epoch is the time of day at which the world begins.
const epoch = 1000 * time.Hour

// timeOfDay is the clock of the sidecars that may step. The fencing token of a process is
// its start on this clock.
func (w *world) timeOfDay() time.Duration { return epoch + w.now + w.clockStep }

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

// callResult is the outcome of a call: answered, refused because the process has ended
// or its port is closed, lost, or turned away by a busy worker without effect.
type callResult uint8

const (
	answered callResult = iota
	refused
	lost
	busy
)

// call makes a remote call. handle runs at the receiver, done at the caller.
func (w *world) call(kind messageKind, from, to *process, handle func(), done func(callResult)) {
	finished := false
	finish := func(r callResult) {
		if !finished {
			finished = true
			done(r)
		}
	}
	from.after(callTimeout, func() { finish(lost) })
	a, b := from.id.Instance, to.id.Instance
	if (to.dead || w.now < to.closedUntil) && w.cut[[2]string{a, b}]+w.cut[[2]string{b, a}] == 0 {
		from.after(w.random(ms, 6*ms), func() { finish(refused) })
		return
	}
	w.send(kind, a, b, to, func() {
		handle()
		w.send(kind.reply(), b, a, from, func() { finish(answered) })
	})
}
