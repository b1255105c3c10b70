package model

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// extendLeases extends all leases to a time of the worker's clock, at most to maxHold
// from now.
func (k *worker) extendLeases(end time.Duration) {
	if end = min(end, k.clock()+maxHold); end > k.leaseEnd {
		k.leaseEnd = end
		k.watchLeases(k.life)
	}
}

func (k *worker) watchLeases(life int) {
	left := time.Duration(float64(k.leaseEnd-k.clock()) / k.rate)
	k.world.after(left+time.Microsecond, func() {
		if k.life != life || k.clock() < k.leaseEnd {
			return // a new life, or extended since
		}
		for _, run := range sortedRuns(k.running) {
			k.end(run, work.Lost)
		}
	})
}

// fenced reports whether a fencing token is outdated, and records it otherwise.
func (k *worker) fenced(token int64) bool {
	if token < k.token && k.world.guards.fencing {
		return true
	}
	k.token = max(k.token, token)
	return false
}

type startCall struct {
	id   string // identifier of the worker that the call is meant for
	born int64  // start time of the life that it is meant for
	// chosenFor is the start time of the life for which the owner has chosen the run.
	chosenFor int64
	run       work.RunID
	token     int64
	leaseEnd  time.Duration
	owner     ident.Process
	duration  time.Duration
}

type startReply struct {
	result occupancy.StartResult
	fenced bool
	clock  time.Duration
}

// start carries out a start call.
func (k *worker) start(c startCall) startReply {
	reply := startReply{result: occupancy.Rejected, clock: k.clock()}
	if c.id == k.id {
		reply.fenced = k.fenced(c.token)
	}
	if c.id != k.id || reply.fenced {
		return reply
	}
	k.extendLeases(c.leaseEnd)
	task := c.run.Task
	switch {
	case k.running[c.run] != nil:
		reply.result = occupancy.Accepted
	case c.run.Attempt <= k.highest[task]:
		reply.result = occupancy.Outdated
	case k.leaseEnd > k.clock():
		reply.result = occupancy.Accepted
		k.execute(c)
	}
	return reply
}

// execute begins a run, and checks that it was chosen for this life, and that no other run of its
// task is running anywhere.
func (k *worker) execute(c startCall) {
	task := c.run.Task
	k.highest[task] = c.run.Attempt
	if c.chosenFor != k.born {
		k.world.violate(c.run, "worker %d starts attempt %d of %v, which was chosen for an earlier life", k.index, c.run.Attempt, task)
	}
	for _, other := range k.world.workers {
		for _, running := range sortedRuns(other.running) {
			if running.Task == task {
				k.world.violate(c.run, "worker %d starts attempt %d of %v while worker %d runs attempt %d", k.index, c.run.Attempt, task, other.index, running.Attempt)
			}
		}
	}
	k.world.note("%s worker %d starts task %d attempt %d of %v", task.Job, k.index, task.Index, c.run.Attempt, c.owner)
	t := &runningTask{}
	k.running[c.run] = t
	k.world.jobs[task.Job].started(c.run, c.owner)
	duration := c.duration
	if k.world.now < k.slowUntil {
		duration *= 6
	}
	k.finishAfter(duration, c.run, t)
}

// finishAfter ends a run after a time, and after the worker has woken.
func (k *worker) finishAfter(d time.Duration, run work.RunID, t *runningTask) {
	k.world.after(d, func() {
		switch {
		case k.running[run] != t:
		case k.stalled:
			k.finishAfter(50*ms, run, t)
		default:
			k.end(run, work.Done)
		}
	})
}

// stop stops a run within stopTimeout, and prevents a later start. It returns false if
// the fencing token is outdated.
func (k *worker) stop(token int64, run work.RunID) bool {
	if k.fenced(token) {
		return false
	}
	k.highest[run.Task] = max(k.highest[run.Task], run.Attempt)
	if t := k.running[run]; t != nil && !t.stopping {
		t.stopping = true
		k.world.after(k.world.random(0, stopTimeout), func() {
			if k.running[run] == t {
				k.end(run, work.Lost)
			}
		})
	}
	return true
}

type statusCall struct {
	token    int64
	lastSeen uint64
	leaseEnd time.Duration // zero leaves the leases unchanged
}

type statusReply struct {
	fenced    bool
	born      int64
	clock     time.Duration
	running   []work.RunID
	ended     []endedTask
	newestEnd uint64
}

// status extends the leases, forgets the ends that have been seen, and lists the runs.
func (k *worker) status(c statusCall) statusReply {
	if k.fenced(c.token) {
		return statusReply{fenced: true}
	}
	if k.answeredAt == 0 {
		k.answeredAt = k.world.now
	}
	if c.leaseEnd > 0 {
		k.extendLeases(c.leaseEnd)
	}
	for len(k.ended) > 0 && k.ended[0].number <= c.lastSeen {
		k.ended = k.ended[1:]
	}
	r := statusReply{born: k.born, clock: k.clock(), running: sortedRuns(k.running), ended: k.ended[:len(k.ended):len(k.ended)]}
	if len(r.ended) > 0 {
		r.newestEnd = r.ended[len(r.ended)-1].number
	}
	return r
}

func (k *worker) end(run work.RunID, outcome work.Outcome) {
	k.world.note("%s worker %d ends task %d attempt %d: %v", run.Task.Job, k.index, run.Task.Index, run.Attempt, outcome)
	delete(k.running, run)
	k.lastEnd++
	k.ended = append(k.ended, endedTask{k.lastEnd, run, outcome})
}
