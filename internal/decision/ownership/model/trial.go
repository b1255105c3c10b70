package model

import "time"

// messageKind is what is about to be delivered at a point at which a fault can strike. A
// reply follows the kind of its request.
type messageKind uint8

const (
	msgTick messageKind = iota // no message: a point of the grid of times
	msgSubmit
	msgLeave
	msgAnswer
	msgHeartbeat
	msgHeartbeatReply
	msgBatch
	msgBatchReply
	msgEnds
	msgEndsReply
	msgStart
	msgStartReply
	msgStop
	msgStopReply
	msgStatus
	msgStatusReply
	// msgLeaving is a start or stop call that the sidecar has decided to make.
	msgLeaving
)

var messageNames = [...]string{"grid of times", "submission", "close of a connection", "answer to a caller", "heartbeat",
	"heartbeat's reply", "batch", "batch's reply", "report of ends", "report's reply", "start call", "start call's answer",
	"stop call", "stop call's answer", "status request", "status", "call to a worker before it leaves"}

func (k messageKind) String() string { return messageNames[k] }

func (k messageKind) reply() messageKind { return k + 1 }

// leaving returns the kind of a call to a worker before it leaves.
func (k messageKind) leaving() messageKind {
	if k == msgStatus {
		return k
	}
	return msgLeaving
}

// choice is a fault of a trial: an option at the step-th point of the world.
type choice struct{ step, option int }

// trial decides at each point of a world whether a fault strikes there.
type trial struct {
	options optionTable
	faults  []choice // by step, then by option
	struck  int      // faults that have struck
	// from and to bound the times at which faults strike.
	from, to time.Duration
	// points holds the kinds of the points that the world has come to.
	points []messageKind
	// void is true after a fault without an effect: the world is one with fewer faults.
	void bool
	// over is the time at which the effects of the faults are over.
	over time.Duration
	// pending counts the messages that a fault holds back.
	pending int
}

// pass delivers a message unless a fault strikes just before.
func (w *world) pass(kind messageKind, deliver func()) {
	t, options := w.trial, []option(nil)
	if t != nil && t.from <= w.now && w.now <= t.to {
		options = t.options[kind]
	}
	if len(options) == 0 {
		deliver()
		return
	}
	step, held := len(t.points), time.Duration(0)
	t.points = append(t.points, kind)
	for t.struck < len(t.faults) && t.faults[t.struck].step == step {
		o := options[t.faults[t.struck].option]
		t.struck++
		w.note("fault before the %v: %s", kind, o.name)
		t.over = max(t.over, w.now+o.lasts)
		switch {
		case o.strike != nil:
			t.void = t.void || !o.strike(w)
		case held != 0:
			t.void = true // two faults of one message
		default:
			held = o.lasts
			if o.lose {
				held = -1
			}
		}
	}
	switch {
	case held < 0:
	case held > 0:
		t.pending++
		w.after(held, func() {
			t.pending--
			deliver()
		})
	default:
		deliver()
	}
}

// tick passes a point of the grid of times, and plans the next one.
func (w *world) tick(interval time.Duration) {
	w.pass(msgTick, func() {})
	w.after(interval, func() { w.tick(interval) })
}

// idle reports whether nothing is under way and each fault is over.
func (w *world) idle() bool {
	if w.now < w.trial.over || w.trial.pending > 0 || len(w.held) > 0 {
		return false
	}
	for _, k := range w.workers {
		if len(k.running) > 0 || !k.up {
			return false
		}
	}
	for _, j := range w.jobs {
		if !j.final {
			return false
		}
	}
	return true
}
