// Package locality decides whether a task takes a place away from its rack now or waits
// for room there. A task runs faster on the rack of its data; a wait for room there costs
// time. The decision is a pure function of the expected waits and run times. It answers a
// rack that more tasks want than it has room for, while other racks have free capacity:
// only tasks that gain more than they wait for stay near it.
package locality

import (
	"math"
	"time"
)

const (
	// minGain is the least gain for which a task waits. A wait costs a message delay that
	// is not part of the estimates.
	minGain = 4 * time.Millisecond
	// baseMargin is the margin of an estimate that is new and the only one. It is above 1
	// because each waiting task delays the others that want the rack: without it, tasks
	// would join until the expected wait equals the gain, and none would gain anything.
	baseMargin = 1.8
	// marginPerDoubling is the increase of the margin with each doubling of the number of
	// compared estimates, because the least of many uncertain waits is too low.
	marginPerDoubling = 0.15
	// marginAge is the age of a load summary that increases the margin by 1, and
	// maxAgeMargin the largest increase.
	marginAge    = 500 * time.Millisecond
	maxAgeMargin = 1.0
	// queueShare is the part of the largest useful wait up to which a task stays in the queue
	// of a worker near. The queue gets free room before a waiting task learns of it.
	queueShare = 0.65
)

// Place is what a task expects at a place. Both times are at least zero.
type Place struct {
	// Wait is the expected time until there is room, zero if there is room now.
	Wait time.Duration
	// RunTime is the expected run time.
	RunTime time.Duration
}

// end returns the expected time until the end.
func (p Place) end() time.Duration { return p.Wait + p.RunTime }

// Task is a task that runs faster near its data. Times are relative to now.
type Task struct {
	Near, Away Place
	// Margin, at least 1, is the factor by which Near.Wait may be too low.
	Margin float64
	// MilliCPU is the processor need in thousandths of a core.
	MilliCPU int64
	// Tail is the expected time from the end of the task to the end of the job.
	Tail time.Duration
	// Objective and Deadline are the latest ends of the task for the objective and the
	// deadline of the job. Either may have passed.
	Objective, Deadline time.Duration
	// MaxWait bounds the wait if it is positive or zero; negative means no bound.
	MaxWait time.Duration
	// Queued is true if the task would be queued at a worker near without a decision, and is
	// expected to start there early enough for the objective. Urgent is true if no other
	// tasks are queued before it.
	Queued, Urgent bool
	// Contended is true if other tasks wait for the rack or it is almost full, and it is so much
	// fuller than the others that a run away leaves more room for other tasks than it takes.
	Contended bool
}

// Job is the part of a job that is placed now.
type Job struct {
	// Rest is the expected time until the end of the job without Tasks.
	Rest  time.Duration
	Tasks []Task
}

// Choice is where a task goes.
type Choice uint8

// Choices.
const (
	// AsPlanned means that the task stays where it would be without a choice, also in the
	// queue of a worker.
	AsPlanned Choice = iota
	// Elsewhere means that the task takes the place away now.
	Elsewhere
	// Near means that the task takes the room on its rack now.
	Near
	// Wait means that the task waits for room on its rack.
	Wait
)

// Decision is the decision for one task.
type Decision struct {
	Choice Choice
	// Until is the longest wait, after which the task is placed elsewhere.
	Until time.Duration
	// Gain is how much earlier the job is expected to end. Priority is the gain without any
	// wait divided by the room that the job's waiting tasks take, in milliseconds per core
	// second. Tasks with a higher priority wait first.
	Gain     time.Duration
	Priority float64
}

// Margin returns the factor by which an expected wait may be too low. It is the least of
// a number of estimates that are as old as age.
func Margin(estimates int, age time.Duration) float64 {
	doublings := math.Log2(float64(max(estimates, 1)))
	return baseMargin + marginPerDoubling*doublings + min(max(float64(age)/float64(marginAge), 0), maxAgeMargin)
}

// Decide returns the decision for each task of a job. The job ends with its last task, so a
// task waits only if it would otherwise end after the others, and the tasks that end last
// are weighed together.
func Decide(job *Job) []Decision {
	end := job.Rest
	for i := range job.Tasks {
		t := &job.Tasks[i]
		end = max(end, t.bestEnd()+t.Tail)
	}
	decisions := make([]Decision, len(job.Tasks))
	for i := range job.Tasks {
		decisions[i] = job.Tasks[i].decide(end)
	}
	setPriorities(job, decisions)
	return decisions
}

// setPriorities sets the priorities of the tasks that wait.
func setPriorities(job *Job, decisions []Decision) {
	room, end := 0.0, job.Rest // of the tasks that wait, and of the job without any wait
	for i := range job.Tasks {
		t := &job.Tasks[i]
		if decisions[i].Choice == Wait {
			room += t.room()
			end = max(end, t.Near.RunTime+t.Tail)
		} else {
			end = max(end, t.bestEnd()+t.Tail)
		}
	}
	for i := range job.Tasks {
		if t := &job.Tasks[i]; decisions[i].Choice == Wait {
			decisions[i].Priority = Priority(t.Away.end()+t.Tail-end, room)
		}
	}
}

// Priority returns the priority of tasks that gain a time by the use of room, which is in core
// seconds.
func Priority(gain time.Duration, room float64) float64 {
	return float64(gain) / float64(time.Millisecond) / max(room, minRoom)
}

// minRoom is a lower bound of the room of a task, in core seconds.
const minRoom = 1e-6

// decide decides for a task of a job that is expected to end at a time.
func (t *Task) decide(jobEnd time.Duration) Decision {
	gain := max(t.Away.end()+t.Tail-jobEnd, 0)
	switch {
	case t.staysOnEvenRack():
		return Decision{Choice: AsPlanned, Gain: gain}
	case t.Away.Wait == 0 && gain < minGain && (t.Contended || t.Near.Wait > 0):
		return Decision{Choice: Elsewhere}
	case t.Near.Wait == 0 && t.Near.RunTime <= t.Away.end():
		return Decision{Choice: Near, Gain: gain}
	case t.staysQueued():
		return Decision{Choice: AsPlanned, Gain: gain}
	case t.pays() && gain >= minGain:
		return Decision{Choice: Wait, Until: t.longest(), Gain: gain}
	}
	return Decision{Choice: Elsewhere}
}

// bestEnd returns the earlier of the expected ends near and away.
func (t *Task) bestEnd() time.Duration {
	if t.Near.Wait == 0 {
		return min(t.Near.RunTime, t.Away.end())
	}
	if t.pays() || t.staysQueued() || t.staysOnEvenRack() {
		return t.marginedWait() + t.Near.RunTime
	}
	return t.Away.end()
}

// staysOnEvenRack reports whether the task keeps its place in a queue near because its rack is not
// much fuller than the others. A run away takes more processor time than one near, and where
// the other racks are as full, other tasks wait longer for it than this one gains.
func (t *Task) staysOnEvenRack() bool {
	return t.Queued && !t.Contended && t.Near.end() <= t.Away.end()
}

// staysQueued reports whether the task keeps its place in the queue of a worker near.
func (t *Task) staysQueued() bool {
	share := queueShare
	if t.Urgent {
		share = 1
	}
	limit := time.Duration(share * float64(t.Away.end()-t.Near.RunTime))
	return t.Queued && t.marginedWait() <= limit && t.marginedWait()+t.Near.RunTime < t.Objective
}

// pays reports whether room near is expected before the wait would have to end, so that the
// task ends earlier than away.
func (t *Task) pays() bool { return t.marginedWait() < t.longest() }

func (t *Task) marginedWait() time.Duration {
	return time.Duration(max(t.Margin, 1) * float64(t.Near.Wait))
}

// longest returns the longest wait that can pay. After it, the end near would be no
// earlier than the end of a run away that starts now, or a run away that starts then would
// end too late for the objective. If a run away ends too late for the objective now, the
// wait lasts while a run near does not. A run away after the wait always ends before the
// deadline.
func (t *Task) longest() time.Duration {
	away := t.Away.end()
	longest := min(away-t.Near.RunTime, t.Deadline-away)
	if away <= t.Objective {
		longest = min(longest, t.Objective-away)
	} else {
		longest = min(longest, t.Objective-t.Near.RunTime)
	}
	if t.MaxWait >= 0 {
		longest = min(longest, t.MaxWait)
	}
	return max(longest, 0)
}

// room returns the room that a run near takes, in core seconds.
func (t *Task) room() float64 {
	return t.Near.RunTime.Seconds() * float64(t.MilliCPU) / 1000
}
