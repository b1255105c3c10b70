// Package occupancy is the state machine of a sidecar that runs tasks under
// leases. It queues runs by rank until the worker has free capacity, and tracks
// for each run whether the worker may be executing it. A Machine does no I/O and
// must be used by one goroutine at a time; the parameter now of its methods is a
// monotonic time that all calls measure from the same origin.
//
// The owner of a run is the entry instance that submitted it.
//
// A run is active from the moment the Machine orders its start until the Machine
// knows that the worker does not execute it and never will. The Machine
// guarantees that it starts a run only if all active runs together then fit into
// the worker's capacity, and that it reports the end of a started run to the owner
// only when the run is no longer active.
package occupancy

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Defaults of Config.
const (
	// DefaultStallTimeout is the time without progress after which a run is stopped.
	DefaultStallTimeout = 450 * time.Millisecond
	// DefaultStopRetryInterval is the time between two stop calls for one run.
	DefaultStopRetryInterval = 50 * time.Millisecond
	// minRefusedStopRetry is the least time between two stop calls for one run if the worker
	// has refused the first one at once. It grows by stopRetryPerRun with each run for which a
	// stop call is due, up to StopRetryInterval, so that their rate stays bounded.
	minRefusedStopRetry = 15 * time.Millisecond
	stopRetryPerRun     = time.Millisecond
)

// Config configures a Machine. Zero values select the defaults above.
type Config struct {
	StallTimeout      time.Duration
	StopRetryInterval time.Duration
}

// Worker describes one incarnation of the worker, that is one worker process.
type Worker struct {
	// ID and Incarnation together identify the worker process. Incarnation is
	// the start time of the process in Unix milliseconds.
	ID          string
	Incarnation int64
	// Capacity bounds the sum of the resources of all active runs whenever a run
	// starts.
	Capacity work.Resources
	// Leaving is true if the process has said that it will exit.
	Leaving bool
}

// phase is the state of a run as far as the Machine knows it.
type phase uint8

// Phases of a run. A run occupies capacity in every phase but queued.
const (
	queued phase = iota
	// starting: the start call has not returned yet.
	starting
	// unconfirmed: the worker did not answer the start call. The run may start at
	// any time.
	unconfirmed
	// running: the worker has confirmed the start or has listed the run.
	running
	// stopping: the Machine has ordered a stop, but the run has not certainly ended.
	stopping
)

// run is one run that is queued or active.
type run struct {
	wire.RunRequest
	owner ident.Process
	phase phase
	// ownerDropped is true if DropOwner has dropped the owner. The end is not
	// reported then, but the run occupies capacity until it has ended.
	ownerDropped bool
	// superseded is true if another owner has the run of a later submission of the job. The
	// owner is told so whatever the result, because it does nothing more for the job.
	superseded bool
	// jobSubmittedAt is the time at which the job was submitted to the owner.
	jobSubmittedAt time.Duration
	// stopOutcome and stopReason are reported when a stopped run has ended, unless
	// the worker reports that the run succeeded or failed.
	stopOutcome work.Outcome
	stopReason  string

	// latestStart is the time after which a queued run is returned to its owner.
	latestStart time.Duration
	// startedAt is when the Machine ordered the start, and confirmedAt when the
	// worker's answer or status confirmed it; zero if that has not happened.
	startedAt   time.Duration
	confirmedAt time.Duration
	// startPending is true while the start call has neither returned nor timed out.
	startPending bool
	// listed is true once a status has listed the run or its end. restarted is true if the
	// worker process has changed before that: either process may have received the start call.
	listed, restarted bool
	// exited is the worker process that has exited, if restarted is true, and crashCertain is
	// true if the run was at work there then, unless the next process lists it.
	exited       Worker
	crashCertain bool
	// crash and crashedIncarnation are reported with the end of the run. They are set if the
	// worker process has crashed or may have.
	crash              work.Crash
	crashedIncarnation int64
	// percent is the highest progress that the worker has reported. progressedAt is
	// when percent last increased, or when the start was ordered or confirmed if
	// that is later.
	percent      int
	progressedAt time.Duration
	// stopOrderedAt is when the stop was ordered, and nextStop when the next stop call
	// is due. stopConfirmed is true if the worker has confirmed a stop call, and
	// stopConfirmedAt is when it first did.
	nextStop        time.Duration
	stopOrderedAt   time.Duration
	stopConfirmed   bool
	stopConfirmedAt time.Duration
	// abandonedAt is when its owner no longer needed the run or was lost, zero before that. The
	// caller of the job may submit it again, so the run has to end soon, whatever the worker
	// makes of the stop calls.
	abandonedAt time.Duration
	// unansweredAt is when the start call ended without an answer. A status that is
	// requested later and does not list the run proves that the start call had no
	// effect until then.
	unansweredAt time.Duration
	// sequence is the number of the run in the order of submission.
	sequence uint64
	// rejections are the rejected runs of other owners for the same task.
	rejections []rejection
}

// unknownRun is a run that this process has not started.
type unknownRun struct {
	// seenAt is when the worker first listed it, and nextStop when the next stop call is due.
	seenAt, nextStop time.Duration
}

// Machine is the state machine of one sidecar. Its caller is the runtime, which
// passes in the events and carries out the actions.
type Machine struct {
	cfg    Config
	worker Worker
	// description is the number by which owners name the present description of the worker.
	description     uint64
	workerAvailable bool
	// draining is true once the sidecar accepts no new runs any more.
	draining bool
	// evacuated is true while the worker's zone is evacuated; ramp limits the capacity after that.
	evacuated bool
	ramp      evacuation.Ramp
	// unknownRuns holds the runs that the worker lists although this process has
	// not started them.
	unknownRuns map[work.RunID]unknownRun
	// statusKnown is true once the current worker process has reported a status.
	statusKnown bool
	// lapsedRuns are the runs whose leases have expired since the worker was last heard.
	lapsedRuns []work.RunID
	// brokenWait is the argument of StatusBroken, zero since a status.
	brokenWait time.Duration
	// crashed is the last worker process of which WorkerCrashed has told.
	crashed processID

	runs         map[work.RunID]*run
	runsOfOwner  map[ident.Process]int // number of runs and rejections, by owner
	byTask       map[work.TaskID][]*run
	queue        runQueue
	used         work.Resources
	lastSequence uint64
	actions      []Action
	health       health
	load         loadTracker
}

// Action is a step that the runtime must carry out.
type Action interface{ action() }

// StartRun starts a run on the worker. The runtime answers each StartRun with one
// call of StartAnswered.
type StartRun struct {
	Run     work.RunID
	Payload string
}

// ReportEnd tells the owner of a run how the run has ended.
type ReportEnd struct {
	Owner ident.Process
	End   wire.RunEnd
}

// StopSettled tells that a run whose stop was ordered is no longer active.
type StopSettled struct {
	Run   work.RunID
	Owner ident.Process
	// Reason is the reason of the stop, and Outcome how the run ended.
	Reason  string
	Outcome work.Outcome
	// Ran is the time from the start to the stop order, and Settling that from the
	// order to the end.
	Ran, Settling time.Duration
	// Confirmed is true if the worker has confirmed a stop call.
	Confirmed bool
}

func (StartRun) action() {}

func (StopRun) action() {}

func (ReportEnd) action() {}

func (StopSettled) action() {}

// New returns a Machine without a worker.
func New(cfg Config) *Machine {
	if cfg.StallTimeout == 0 {
		cfg.StallTimeout = DefaultStallTimeout
	}
	if cfg.StopRetryInterval == 0 {
		cfg.StopRetryInterval = DefaultStopRetryInterval
	}
	return &Machine{cfg: cfg, runs: map[work.RunID]*run{}, runsOfOwner: map[ident.Process]int{}, byTask: map[work.TaskID][]*run{}, unknownRuns: map[work.RunID]unknownRun{}}
}

// Actions returns the pending actions in order and removes them from the Machine.
func (m *Machine) Actions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// activeRuns returns the active runs in the order of submission.
func (m *Machine) activeRuns() []*run {
	var list []*run
	for _, r := range m.runs {
		if r.phase != queued {
			list = append(list, r)
		}
	}
	sortByArrival(list)
	return list
}

// allRuns returns the queued and the active runs in the order of submission.
func (m *Machine) allRuns() []*run {
	list := make([]*run, 0, len(m.runs))
	for _, r := range m.runs {
		list = append(list, r)
	}
	sortByArrival(list)
	return list
}

// NumActive returns the number of active runs, including the runs that the worker
// lists although this process has not started them.
func (m *Machine) NumActive() int { return len(m.runs) - m.queue.Len() + len(m.unknownRuns) }

// NeedsLease reports whether any active run is to go on. Runs that are being stopped, runs that
// this process has not started, and a start without an answer get no longer lease: if the
// worker leaves their stop calls unanswered, they end with the lease that they have.
func (m *Machine) NeedsLease() bool {
	for _, r := range m.runs {
		if r.phase == starting || r.phase == running {
			return true
		}
	}
	return false
}

// OldestAbandoned returns the earliest time at which an active run was abandoned of which the
// worker has confirmed no stop call, and whether there is such a run. Leases are extended for all
// runs of a worker at once, so such a run ends in time only if they aren't extended for too long.
func (m *Machine) OldestAbandoned() (at time.Duration, found bool) {
	note := func(t time.Duration) {
		if !found || t < at {
			at, found = t, true
		}
	}
	for _, r := range m.runs {
		if r.phase != queued && r.abandonedAt > 0 && !r.stopConfirmed {
			note(r.abandonedAt)
		}
	}
	for _, u := range m.unknownRuns {
		note(u.seenAt)
	}
	return at, found
}

// HasRunsOf reports whether any run of an owner is queued or active, or rejected while the
// run of another owner for the same task is active. It counts the runs of a dropped owner
// that have not ended yet.
func (m *Machine) HasRunsOf(owner ident.Process) bool { return m.runsOfOwner[owner] > 0 }

// Used returns the resources that the active runs occupy.
func (m *Machine) Used() work.Resources { return m.used }
