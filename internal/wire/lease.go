package wire

import (
	"slices"

	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Names of the RPC services for tasks that run under leases.
const (
	ServiceBroker = "Broker"
	ServiceRunner = "Runner"
)

// NumRanks is the number of ranks that a load summary distinguishes. Higher
// ranks count as the last of them.
const NumRanks = 3

// RunRequest asks a sidecar to run one task as soon as its worker has the
// free capacity for it.
type RunRequest struct {
	Run     work.RunID     `msgpack:"r"`
	Need    work.Resources `msgpack:"n"`
	Payload string         `msgpack:"p"`
	// Rank is the rank of the job; runs of rank zero come first.
	Rank int `msgpack:"k,omitempty"`
	// EstimateMs is the expected run time in milliseconds.
	EstimateMs int64 `msgpack:"e"`
	// MaxWaitMs is the longest time that the task may wait for free capacity,
	// in milliseconds.
	MaxWaitMs int64 `msgpack:"w"`
	// NoWait is true if the sidecar is to return the task instead of queueing it,
	// because another worker probably has free capacity.
	NoWait bool `msgpack:"o,omitempty"`
	// JobAgeMs is the time since the job was submitted to the sender, in milliseconds, at
	// least 1. Of two entry instances with runs of a task, the one with the later submission
	// keeps its run. Zero means that the sender is of an earlier release and does not know
	// the outcome work.Superseded.
	JobAgeMs int64 `msgpack:"h,omitempty"`
	// Description is Load.Description of the worker when the sender chose it. The batch
	// carries it once for all its runs.
	Description uint64 `msgpack:"-"`
}

// RunBatch asks a sidecar to start runs and to stop others. The sidecar carries
// out each list in order, the starts before the stops.
type RunBatch struct {
	Entry   ident.Process `msgpack:"e"`
	Sidecar ident.Process `msgpack:"s"`
	// Session is the Session of the sidecar's newest heartbeat.
	Session uint64 `msgpack:"n"`
	// SidecarClockMs is the sender's estimate of the sidecar's clock when it built the
	// batch, in milliseconds: the clock in the newest load summary plus the time since
	// its arrival. It is the same in each transmission of the batch. The sidecar uses
	// it to detect a delayed batch.
	SidecarClockMs int64 `msgpack:"c"`
	// Sequence increases with each batch that the sender sends to any sidecar.
	Sequence uint64 `msgpack:"q"`
	// Description is that of the runs. The sidecar returns them if the worker is described
	// otherwise by now. Zero means that the sender is of an earlier release and does not tell.
	Description uint64       `msgpack:"d,omitempty"`
	Runs        []RunRequest `msgpack:"r,omitempty"`
	Stops       []work.RunID `msgpack:"x,omitempty"`
}

// RunReply is the reply to a RunBatch.
type RunReply struct {
	// Rejected is true if the replying sidecar is not the incarnation that the
	// batch names, does not consider the entry instance live, or is in another
	// session. It has started nothing then.
	Rejected bool `msgpack:"g,omitempty"`
	// Stale is true if the batch was delayed too long. No transmission of it has
	// started its runs and none will. Its stops have been carried out.
	Stale bool `msgpack:"s,omitempty"`
	Load  Load `msgpack:"l"`
}

// Load summarizes the free capacity and the queued runs of a worker.
type Load struct {
	// Version increases with each summary that a sidecar incarnation sends.
	Version uint64 `msgpack:"v"`
	// Description is the number of the description of the worker, which increases with each
	// other one that a sidecar incarnation sends in heartbeats. Zero means that there is none yet,
	// or that the sidecar is of an earlier release.
	Description uint64 `msgpack:"d,omitempty"`
	// ClockMs is the sidecar's clock when it built the summary, in milliseconds.
	ClockMs int64 `msgpack:"m"`
	// AppliedSequence is the sequence number of the receiver's newest batch that
	// the summary includes.
	AppliedSequence uint64 `msgpack:"q,omitempty"`
	// AcceptsRuns is true if the worker accepts new runs.
	AcceptsRuns bool `msgpack:"o,omitempty"`
	// Capacity is the capacity of the worker, and Free the part of it that no run
	// holds. Free is negative in no dimension.
	Capacity work.Resources `msgpack:"t"`
	Free     work.Resources `msgpack:"f"`
	// QueuedMilliCPU is the processor capacity that the queued runs need, by rank,
	// in thousandths of a core. The first rank includes what the running ones use beyond a
	// capacity that has shrunk.
	QueuedMilliCPU [NumRanks]int64 `msgpack:"u,omitempty"`
	// RemainingWork is the estimated remaining run time of the running tasks times
	// their cores, in thousandths of a core times milliseconds.
	RemainingWork int64 `msgpack:"n,omitempty"`
	// RankShare is the part of the capacity, 0 to 1, that recently started runs
	// use, by rank.
	RankShare [NumRanks]float64 `msgpack:"k,omitempty"`
	// Slowness is the ratio of the measured to the estimated run time.
	Slowness float64 `msgpack:"s,omitempty"`
	// Suspect is true while the worker is to get no runs because its recent runs
	// failed or stalled.
	Suspect bool `msgpack:"p,omitempty"`
	// Probe is true if the worker was suspect and is to get a single run that
	// shows whether it has recovered.
	Probe bool `msgpack:"b,omitempty"`
}

// RunEnd reports the end of one run.
type RunEnd struct {
	Run     work.RunID   `msgpack:"r"`
	Outcome work.Outcome `msgpack:"o,omitempty"`
	// Reason explains an outcome other than done.
	Reason string `msgpack:"w,omitempty"`
	// RunMs is the time from the start to the end of the run in milliseconds.
	RunMs int64 `msgpack:"m,omitempty"`
	// Crash says whether the run ended with a crash of its worker process. Senders of earlier
	// releases don't tell.
	Crash work.Crash `msgpack:"c,omitempty"`
	// CrashedIncarnation is the start time of the worker process in Unix milliseconds, unless
	// Crash is work.NoCrash. Zero means that it is unknown.
	CrashedIncarnation int64 `msgpack:"p,omitempty"`
}

// EndBatch reports the ends of runs to their owner. The sidecar sends the ends
// again until the owner acknowledges them.
type EndBatch struct {
	Entry   ident.Process `msgpack:"e"`
	Sidecar ident.Process `msgpack:"s"`
	// Session is the session of the owner in which the runs have ended. The owner ignores
	// a report of an earlier one, which was delayed.
	Session uint64 `msgpack:"i"`
	// FirstEnd is the number of the first of Ends. The ends that a sidecar reports in a
	// session are numbered from 1, so that the owner handles each of them once. Zero means
	// that the sidecar is of an earlier release.
	FirstEnd uint64   `msgpack:"f,omitempty"`
	Ends     []RunEnd `msgpack:"n"`
	Load     Load     `msgpack:"l"`
	// Crashes are as in RunnerHeartbeat, so that the owner knows what else was at work when
	// it learns that a run has ended with a crash.
	Crashes []CrashRecord `msgpack:"c,omitempty"`
}

// EndReply acknowledges an EndBatch.
type EndReply struct {
	// WrongIncarnation is true if the replying entry instance is not the
	// incarnation that the batch names.
	WrongIncarnation bool `msgpack:"g,omitempty"`
	// DropRuns is as in RunnerHeartbeatReply, for the session of the report.
	DropRuns bool `msgpack:"d,omitempty"`
}

// WorkerInfo describes a sidecar and its worker. All fields but Sidecar and FencingToken are
// empty while the sidecar has no worker.
type WorkerInfo struct {
	Sidecar Peer     `msgpack:"s"`
	Worker  string   `msgpack:"w,omitempty"`
	Service string   `msgpack:"v,omitempty"`
	Rack    string   `msgpack:"r,omitempty"`
	Labels  []string `msgpack:"l,omitempty"`
	// FencingToken is the token of the sidecar's calls to the worker. The worker
	// rejects calls with a lower token than it has seen, so a later incarnation of a
	// sidecar has a higher one.
	FencingToken int64 `msgpack:"f,omitempty"`
	// Incarnation is the start time of the worker process in Unix milliseconds, zero if it is
	// unknown.
	Incarnation int64 `msgpack:"b,omitempty"`
}

// SameWorker reports whether two descriptions are of the same worker process, and equal but for
// the sidecar and its fencing token.
func (i *WorkerInfo) SameWorker(other *WorkerInfo) bool {
	return i.Worker == other.Worker && i.Incarnation == other.Incarnation && i.Service == other.Service && i.Rack == other.Rack &&
		slices.Equal(i.Labels, other.Labels)
}

// RunnerHeartbeat is the heartbeat of a sidecar to an entry instance.
type RunnerHeartbeat struct {
	Info WorkerInfo `msgpack:"i"`
	Load Load       `msgpack:"l"`
	// Session increases when the sidecar has dropped all runs of the receiver.
	// None of the runs of earlier sessions is still running.
	Session uint64 `msgpack:"n"`
	// MembersHash is the hash of the receiver's list of members that the sender
	// holds.
	MembersHash uint64 `msgpack:"h,omitempty"`
	// Receiver is the entry incarnation from which the sender has received a reply, and
	// NoReply is true if there is none yet. Senders of earlier releases set neither.
	Receiver ident.Process `msgpack:"e,omitempty"`
	NoReply  bool          `msgpack:"y,omitempty"`
	// Crashes are the crashes of the worker that the receiver has not confirmed yet.
	Crashes []CrashRecord `msgpack:"c,omitempty"`
	// EvacuationRevision is the revision of the sender's evacuation state, zero if it has none.
	EvacuationRevision uint64 `msgpack:"u,omitempty"`
}

// Confirmed reports whether the sender was alive after an earlier heartbeat of it had reached
// the given entry incarnation. Senders of earlier releases don't tell.
func (h *RunnerHeartbeat) Confirmed(receiver ident.Process) bool {
	return h.Receiver == receiver || h.Receiver.IsZero() && !h.NoReply
}

// RunnerHeartbeatReply is the reply to a RunnerHeartbeat.
type RunnerHeartbeatReply struct {
	Entry ident.Process `msgpack:"e"`
	// Members are the entry instances that the replying one knows of, itself
	// included, and MembersHash is the hash of the list. The list is left out if
	// the request has the same hash. Incarnations are left out.
	Members     []Peer `msgpack:"l,omitempty"`
	MembersHash uint64 `msgpack:"h,omitempty"`
	// FencingToken is the highest fencing token that any process of the sidecar has reported,
	// zero if unknown.
	FencingToken int64 `msgpack:"f,omitempty"`
	// DropRuns is true if the replying entry instance can't deliver its stops. The sidecar stops
	// all its runs and begins another session, if the session of the heartbeat is still the present
	// one.
	DropRuns bool `msgpack:"d,omitempty"`
	// Evacuation is the evacuation state of the replying entry instance if its revision is higher
	// than that of the request.
	Evacuation *evacuation.State `msgpack:"u,omitempty"`
}

// ConfigExchangeRequest reports an entry instance's configuration version to
// another entry instance. A receiver that has an older version asks the sender
// for the configuration.
type ConfigExchangeRequest struct {
	From    Peer   `msgpack:"f"`
	Version uint64 `msgpack:"v"`
	// MembersHash is the hash of the receiver's list of members that the sender
	// holds.
	MembersHash uint64 `msgpack:"h,omitempty"`
	// Crashes are crashes of which the sender has heard since its last round of exchanges.
	Crashes []CrashRecord `msgpack:"c,omitempty"`
	// CrashesHash is the hash of the crashes that the sender remembers. CompareCrashes asks for
	// those of the receiver if it remembers others.
	CrashesHash    uint64 `msgpack:"a,omitempty"`
	CompareCrashes bool   `msgpack:"o,omitempty"`
	// EvacuationRevision is the revision of the sender's evacuation state, zero if it has none. A
	// receiver that has a lower one asks the sender for the state.
	EvacuationRevision uint64 `msgpack:"u,omitempty"`
}

// ConfigExchangeReply is the reply to a ConfigExchangeRequest.
type ConfigExchangeReply struct {
	// Version is the replying entry instance's version.
	Version uint64 `msgpack:"v"`
	// Config is the encoded configuration if Version is higher than that of the
	// request.
	Config []byte `msgpack:"t,omitempty"`
	// Members and MembersHash are as in RunnerHeartbeatReply.
	Members     []Peer `msgpack:"l,omitempty"`
	MembersHash uint64 `msgpack:"h,omitempty"`
	// Crashes are the newest crashes that the sender remembers, if the request compares them
	// and its sender remembers others.
	Crashes []CrashRecord `msgpack:"c,omitempty"`
	// Evacuation is as in RunnerHeartbeatReply.
	Evacuation *evacuation.State `msgpack:"u,omitempty"`
}
