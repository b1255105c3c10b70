package model

import (
	"fmt"
	"time"
)

// option is a fault that can strike at a point: it disturbs processes or links (strike), or
// loses the message of the point, or holds it back for the time that it lasts.
type option struct {
	name string
	// strike returns false if the fault has no effect.
	strike func(*world) bool
	lose   bool
	lasts  time.Duration
}

// The lengths of the faults. A caller submits its job again after resubmitDelay of 1.3 s.
const (
	beyondResubmit = 1500 * ms       // ends soon after the second submission
	beyondLeases   = 2800 * ms       // ends when all leases have ended
	longFault      = 4 * time.Second // ends when the second submission has been served
	lateCall       = 2500 * ms
	lateMessage    = 900 * ms
	slowMessage    = 450 * ms // arrives before it is too old
	closedPort     = 300 * ms
	shortRestart   = 50 * ms
	longRestart    = 600 * ms
	clockStepBack  = -time.Hour
)

func lose() option { return option{name: "it is lost", lose: true} }

func hold(d time.Duration) option {
	return option{name: fmt.Sprintf("it is held back for %v", d), lasts: d}
}

// optionTable holds the faults that can strike before each kind of message.
type optionTable map[messageKind][]option

func newOptionTable() optionTable {
	faults := processFaults()
	with := func(more ...option) []option { return append(faults[:len(faults):len(faults)], more...) }
	return optionTable{
		msgTick: faults, msgSubmit: faults, msgLeave: faults, msgAnswer: faults, msgLeaving: faults,
		msgHeartbeat:  {hold(lateMessage), hold(beyondLeases)},
		msgBatch:      with(lose(), hold(slowMessage), hold(lateMessage), hold(beyondLeases)),
		msgBatchReply: with(lose()),
		msgEnds:       with(lose(), hold(lateMessage), hold(beyondLeases)),
		msgEndsReply:  with(lose()),
		msgStart:      with(lose(), hold(lateCall)),
		msgStartReply: with(lose()),
		msgStop:       with(lose(), hold(lateCall)),
		msgStopReply:  with(lose()),
	}
}

// processFaults returns the faults of processes, clocks and links, and the moves of callers
// and attachments. Jobs are submitted at entry instance 0, so that most faults of the
// entry instances concern that one.
func processFaults() []option {
	var list []option
	add := func(lasts time.Duration, strike func(*world) bool, name string, args ...any) {
		list = append(list, option{name: fmt.Sprintf(name, args...), strike: strike, lasts: lasts})
	}
	for _, d := range []time.Duration{beyondResubmit, longFault} {
		add(d, func(w *world) bool { return w.pause(&w.entries[0].process, d) }, "entry-0 pauses for %v", d)
		add(d, func(w *world) bool {
			w.rnd.(*longest).reversed = true
			return w.pause(&w.entries[0].process, d)
		}, "entry-0 pauses for %v and handles what has waited in reverse", d)
		add(d, func(w *world) bool { w.isolate(w.entries[0], d); return true }, "entry-0 is cut off from all for %v", d)
	}
	add(beyondResubmit, func(w *world) bool { return w.pause(&w.entries[1].process, beyondResubmit) }, "entry-1 pauses for %v", beyondResubmit)
	add(beyondResubmit, func(w *world) bool {
		for _, s := range w.sidecars {
			w.cutBothWays(w.entries[0].id.Instance, s.id.Instance, beyondResubmit)
		}
		return true
	}, "entry-0 is cut off from the sidecars for %v", beyondResubmit)
	add(beyondLeases, func(w *world) bool {
		for _, s := range w.sidecars {
			w.cutLink(w.entries[0].id.Instance, s.id.Instance, beyondLeases)
		}
		return true
	}, "messages of entry-0 to the sidecars are held back for %v", beyondLeases)
	for i := range 2 {
		add(shortRestart, func(w *world) bool { return w.restartEntryAfter(i, shortRestart) }, "entry-%d is killed and starts again", i)
	}
	for i := range 2 {
		list = append(list, workerFaults(i)...)
	}
	add(0, func(w *world) bool { return w.breakOff() }, "the first job's caller breaks off and submits it at the other entry instance later")
	add(0, func(w *world) bool { w.clockStep += clockStepBack; return true }, "the time of day steps by %v", clockStepBack)
	return list
}

// workerFaults returns the faults of a sidecar and its worker.
func workerFaults(i int) []option {
	var list []option
	add := func(lasts time.Duration, strike func(*world) bool, name string, args ...any) {
		list = append(list, option{name: fmt.Sprintf(name, args...), strike: strike, lasts: lasts})
	}
	side := func(w *world) string { return w.sidecars[i].id.Instance }
	add(beyondLeases, func(w *world) bool { return w.pause(&w.sidecars[i].process, beyondLeases) }, "side-%d pauses for %v", i, beyondLeases)
	for _, d := range []time.Duration{shortRestart, longRestart} {
		add(d, func(w *world) bool { return w.restartSidecarAfter(i, d) }, "side-%d is killed and starts again after %v", i, d)
	}
	add(beyondResubmit, func(w *world) bool {
		w.cutBothWays(w.entries[0].id.Instance, side(w), beyondResubmit)
		return true
	}, "the link of entry-0 and side-%d is cut for %v", i, beyondResubmit)
	add(0, func(w *world) bool { return w.workers[i].crash(0, true) }, "worker-%d starts again under its identifier", i)
	add(time.Second, func(w *world) bool { return w.workers[i].crash(time.Second, false) }, "worker-%d starts again after 1s under another identifier", i)
	add(longFault, func(w *world) bool {
		w.cutBothWays(w.workers[i].name(), side(w), longFault)
		return true
	}, "the link of side-%d and its worker is cut for %v", i, longFault)
	add(closedPort, func(w *world) bool { w.workers[i].closedUntil = w.now + closedPort; return true }, "worker-%d refuses connections for %v", i, closedPort)
	add(longFault, func(w *world) bool { return w.workers[i].stall(longFault) }, "worker-%d stands still for %v", i, longFault)
	add(time.Second, func(w *world) bool { return w.sidecars[i].detach(0, time.Second) }, "side-%d detaches from entry-0, and attaches again after 1s", i)
	return list
}
