// Package placement is the state machine of an entry instance for jobs whose
// tasks run under leases. It admits or refuses whole jobs, chooses a worker for
// each task, starts tasks again after their earlier run is known to have ended,
// and answers jobs. A Machine does no I/O and must be used by one goroutine at a
// time. The argument now of its methods is the monotonic time since process start
// and never decreases.
//
// Admission protects against an overload by one queue, in which long tasks of
// the least urgent rank hold the capacity that arriving urgent tasks need. The
// Machine refuses a whole job at once if any task of its first steps is not
// expected to start in time.
package placement

import (
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/crashes"
	"github.com/cardamomturn/cardamomturn/internal/decision/estimate"
	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/indexedheap"
	"github.com/cardamomturn/cardamomturn/internal/decision/locality"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Defaults of Config.
const (
	// DefaultHeartbeatTimeout is the time without a message from a sidecar with runs
	// of this entry instance after which the Machine sends its worker no more runs. By
	// then the sidecar has stopped the runs of this entry instance.
	DefaultHeartbeatTimeout = 900 * time.Millisecond
	// DefaultIdleTimeout is the same for a sidecar without such runs, which sends
	// heartbeats less often.
	DefaultIdleTimeout = 3500 * time.Millisecond
	// DefaultIsolationTimeout is the time without a message from any sidecar after which
	// the Machine abandons its jobs. It is longer than the time between two heartbeats of
	// an idle sidecar, and shorter than that after which a caller without an answer
	// submits its job again elsewhere.
	DefaultIsolationTimeout = 1150 * time.Millisecond
	// DefaultLeaseTimeout is the time after the last message from a sidecar, or the
	// last run for it, by which the worker has ended all runs of this entry instance,
	// even if its sidecar has failed, because their leases have expired.
	DefaultLeaseTimeout = 2 * time.Second
	// DefaultWorkersSettle is longer than the time between the first heartbeats of sidecars that
	// have started together.
	DefaultWorkersSettle = 120 * time.Millisecond
	// DefaultMaxCrashes is the number of workers that may crash under a task before its job
	// fails. After two, it ends as unfinished if no other job was at work both times.
	DefaultMaxCrashes = 3
)

// Config holds the settings of a Machine. Zero values select the defaults above.
type Config struct {
	// Zone is the availability zone of the entry instance.
	Zone string
	// HeartbeatTimeout and IdleTimeout are the times without a message after which a
	// worker with and without runs of this entry instance gets no more of them, and
	// LeaseTimeout the time after which the runs of this entry instance at the worker
	// have ended. IsolationTimeout is the time without a message from any sidecar after which all
	// jobs are abandoned.
	HeartbeatTimeout, IdleTimeout, LeaseTimeout, IsolationTimeout time.Duration
	// WorkersSettle is the time without a further worker after which an entry instance that has
	// just started knows all workers; DefaultWorkersSettle suits. Until then, a job for which there
	// is no room is held as long as it can still end within its objective. Zero holds no job.
	WorkersSettle time.Duration
	// MaxCrashes is the number of workers that may crash under a task before its job fails,
	// also if other jobs may have caused the crashes.
	MaxCrashes int
	// AdaptToDelay makes placement follow the measured delay of the load summaries.
	AdaptToDelay bool
	// RemoteFactor is the factor by which the run time of a task is longer on a rack other
	// than its preferred one. At most 1 means that no task prefers a rack.
	RemoteFactor float64
	// DecideWaits decides which tasks wait for room on their racks; nil selects
	// locality.Decide. A test replaces it to compare other rules.
	DecideWaits func(*locality.Job) []locality.Decision
}

// Action is a request to the caller of the Machine, which does the I/O.
type Action interface{ action() }

// Batch asks the caller to send starts and stops of runs to a sidecar. A load
// summary includes them if its AppliedSequence is at least Sequence.
type Batch struct {
	Sidecar  ident.Process
	Session  uint64
	Sequence uint64
	// Description is that of all Runs, zero without any.
	Description uint64
	Runs        []wire.RunRequest
	Stops       []work.RunID
}

// JobAnswer is the final answer to an admitted job. The Machine emits it once per
// job.
type JobAnswer struct {
	JobID  string
	Answer work.Answer
	Stats  JobStats
}

// JobStats describes the course of a job for the log.
type JobStats struct {
	Queue     string
	Tasks     int
	DoneTasks int
	// Runs is the number of runs of all tasks, including runs that ended with
	// work.NotRun or work.NoRoom.
	Runs int
	// NoRoomEnds is the number of runs that ended with work.NoRoom.
	NoRoomEnds int
	// CrashedRuns and PossiblyCrashedRuns are the numbers of runs that ended with a crash of
	// their worker process, and of those that may have.
	CrashedRuns, PossiblyCrashedRuns int
	// AwayRuns is the number of runs on another rack than the preferred one.
	AwayRuns int
	Elapsed  time.Duration
	// Held is true if the job waited for workers to become known after the start of the process.
	Held bool
	// LastOutcome, LastReason and LastWorker describe the newest end of a run whose
	// outcome is neither work.Done nor work.NoRoom.
	LastOutcome work.Outcome
	LastReason  string
	LastWorker  string
}

func (Batch) action() {}

func (JobAnswer) action() {}

// Machine is the placement state machine of one entry instance.
type Machine struct {
	cfg     Config
	random  *rand.Rand
	workers map[ident.Process]*worker
	// incarnations holds the processes of each sidecar, by instance name and incarnation,
	// and lastIncarnation is the order of the newest one.
	incarnations    map[string]map[uint64]*incarnation
	lastIncarnation uint64
	pools           map[string]*pool
	jobs            map[string]*job
	// calibrations correct the declared run times, by queue.
	calibrations map[string]*estimate.Calibration
	canceled     cancellations
	// crashes remembers the crashes of workers, also those under the runs of other owners.
	crashes *crashes.Table
	// learned are the crashes for the next CrashesLearned.
	learned []crashes.Record
	// unanswered holds the jobs without an answer, the earliest deadline first.
	unanswered indexedheap.Heap[*job]
	waiting    []*job // jobs with tasks to place later
	// rackWaits are the tasks that wait for room on their racks, in the order in which they get
	// it, and changedRacks the racks with new load summaries since the last review.
	rackWaits    map[rackKey][]*rackWait
	changedRacks map[rackKey]bool
	// nextRackReview is the time of the next review of all waits for racks, zero if there are none.
	nextRackReview time.Duration
	// fullReviewAt is the latest time of the next review of all waits for racks.
	fullReviewAt time.Duration
	unsent       []*worker // workers with a batch for Actions to return
	delay        batchDelay
	sequence     uint64 // sequence number of the newest batch to any sidecar
	actions      []Action
	draining     bool
	evacuation   evacuation.State
	// lastCall is the time of the last call of checkContacts, and nextContactCheck that
	// of the next check of the times without a message.
	lastCall, nextContactCheck time.Duration
	startup                    startup
	// lastMessage is the time of the last message from any sidecar, zero before the first.
	lastMessage time.Duration
	// delayedUntil is the time until which requests may arrive that were held back while this
	// process heard no sidecar.
	delayedUntil time.Duration
}

// New returns a Machine without workers. The caller must not use random
// afterwards.
func New(cfg Config, random *rand.Rand) *Machine {
	if cfg.HeartbeatTimeout == 0 {
		cfg.HeartbeatTimeout = DefaultHeartbeatTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.IsolationTimeout == 0 {
		cfg.IsolationTimeout = DefaultIsolationTimeout
	}
	if cfg.LeaseTimeout == 0 {
		cfg.LeaseTimeout = DefaultLeaseTimeout
	}
	if cfg.MaxCrashes == 0 {
		cfg.MaxCrashes = DefaultMaxCrashes
	}
	if cfg.DecideWaits == nil {
		cfg.DecideWaits = locality.Decide
	}
	return &Machine{
		cfg: cfg, random: random, startup: startup{settle: cfg.WorkersSettle}, crashes: crashes.NewTable(),
		rackWaits: map[rackKey][]*rackWait{}, changedRacks: map[rackKey]bool{},
		workers: map[ident.Process]*worker{}, incarnations: map[string]map[uint64]*incarnation{}, pools: map[string]*pool{},
		jobs: map[string]*job{}, calibrations: map[string]*estimate.Calibration{},
	}
}

// pool holds the workers of one service.
type pool struct {
	workers []*worker
	// maxCapacity is the largest capacity of any worker so far, in each dimension.
	maxCapacity work.Resources
}

// Actions returns the queued actions and clears the queue. The batches for a sidecar are in the
// order in which it must receive them.
func (m *Machine) Actions() []Action {
	for _, w := range m.unsent {
		m.emitBatches(w)
	}
	m.unsent = m.unsent[:0]
	if len(m.learned) > 0 {
		m.actions = append(m.actions, CrashesLearned{m.learned})
		m.learned = nil
	}
	actions := m.actions
	m.actions = nil
	return actions
}

// Drain makes the Machine refuse new jobs.
func (m *Machine) Drain() { m.draining = true }

// UnansweredJobs returns the number of admitted jobs without an answer.
func (m *Machine) UnansweredJobs() int { return len(m.unanswered) }
