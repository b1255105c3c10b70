package broker

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/failstop"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Caller is the caller of a job, which may leave before the answer.
type Caller interface {
	// Left returns a channel that is closed when the caller no longer waits.
	Left() <-chan struct{}
	// HasLeft reports whether the caller no longer waits, also if the channel of Left has
	// not been closed yet.
	HasLeft() bool
}

// callerRoundTrip bounds the time of a round trip to a caller.
const callerRoundTrip = 25 * time.Millisecond

// awaitClose waits for a round trip, or until the caller has left, and returns how long.
func awaitClose(caller Caller) time.Duration {
	begin := clock.SinceBoot()
	timer := time.NewTimer(callerRoundTrip)
	defer timer.Stop()
	select {
	case <-caller.Left():
	case <-timer.C:
	}
	return clock.SinceBoot() - begin
}

// Submit runs a job and returns its answer. It starts nothing for a caller that has left:
// if this process was paused or cut off, the request may have waited for long, and the job may
// have been submitted again elsewhere. The close of a connection that was held back with the request
// arrives one round trip after it.
func (b *Broker) Submit(job *work.Job, caller Caller) work.Answer {
	defer failstop.OnPanic()
	b.mu.Lock()
	if b.machine.MayBeDelayed(clock.SinceBoot()) {
		b.mu.Unlock()
		job.Timeout -= awaitClose(caller)
		b.mu.Lock()
	}
	// The machine detects a pause that begins after this check.
	left := caller.HasLeft()
	now := clock.SinceBoot()
	refused, ok := work.Answer{State: work.Unfinished, Reason: work.ReasonCallerLeft}, false
	switch {
	case left:
	case !b.evacuation.Ready():
		refused = work.Answer{State: work.Refused, Reason: work.ReasonNoConfig, RetryAfter: noEvacuationRetryAfter}
	default:
		refused, ok = b.machine.Submit(now, job)
	}
	if !ok {
		load := b.machine.ServiceLoad(now, job.Service)
		b.mu.Unlock()
		b.recordRefusal(job, refused, load)
		return refused
	}
	answers := make(chan work.Answer, 1)
	b.answerChans[job.ID] = answers
	b.runMachine(now)
	b.mu.Unlock()
	select {
	case a := <-answers:
		return a
	case <-caller.Left():
	}
	b.callerLeft(job.ID, answers)
	return <-answers
}

// callerLeft abandons the submission of a job that delivers its answer to answers, because its
// caller has left. If that submission has been answered meanwhile, the job may have been
// submitted again.
func (b *Broker) callerLeft(jobID string, answers chan work.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.answerChans[jobID] != answers {
		return
	}
	now := clock.SinceBoot()
	b.machine.CallerLeft(now, jobID)
	b.runMachine(now)
}

// recordRefusal logs and counts a refused job.
func (b *Broker) recordRefusal(job *work.Job, a work.Answer, load placement.ServiceLoad) {
	tasks, need := 0, int64(0)
	for _, s := range job.Steps {
		tasks += s.Count
		need += int64(s.Count) * s.Need.MilliCPU
	}
	event.LogRateLimited(event.JobRefused, "job", job.ID, "queue", job.Queue, "rank", job.Rank, "reason", string(a.Reason), "state", a.State.String(),
		"retryAfterMs", a.RetryAfter.Milliseconds(), "tasks", tasks, "needMilliCPU", need, "freeMilliCPU", load.FreeMilliCPU,
		"queuedMilliCPU", load.QueuedMilliCPU, "usable", load.UsableWorkers, "oldestMs", load.OldestSummary.Milliseconds(), "config", b.config.Version())
	if b.metrics != nil {
		b.metrics.Class(job.Queue, "").Refused.Add(string(a.Reason), 1)
	}
}

// deliverAnswer passes an answer to the waiting Submit, and logs and counts it; mu
// is held.
func (b *Broker) deliverAnswer(a placement.JobAnswer) {
	if ch := b.answerChans[a.JobID]; ch != nil {
		delete(b.answerChans, a.JobID)
		ch <- a.Answer
	}
	stats := &a.Stats
	pairs := []any{"job", a.JobID, "queue", stats.Queue, "state", a.Answer.State.String(), "tasks", stats.Tasks, "done", stats.DoneTasks,
		"starts", stats.Runs, "returns", stats.NoRoomEnds, "crashes", stats.CrashedRuns, "possibleCrashes", stats.PossiblyCrashedRuns, "elapsedMs", stats.Elapsed.Milliseconds(), "config", b.config.Version()}
	if stats.Held {
		pairs = append(pairs, "held", true)
	}
	if a.Answer.Reason != work.ReasonNone {
		pairs = append(pairs, "reason", string(a.Answer.Reason))
	}
	if stats.LastWorker != "" {
		pairs = append(pairs, "lastOutcome", stats.LastOutcome.String(), "lastReason", stats.LastReason, "lastWorker", stats.LastWorker)
	}
	event.LogRateLimited(event.JobAnswered, pairs...)
	b.recordAwayRuns(stats)
	if b.metrics != nil {
		class := b.metrics.Class(stats.Queue, "")
		class.Jobs.Add(a.Answer.State.String(), 1)
		class.Response.Record(stats.Elapsed)
	}
}
