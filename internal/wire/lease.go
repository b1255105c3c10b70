package wire

import (
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Names of the RPC services for work under leases.
const (
	ServiceBroker = "Broker"
	ServiceRunner = "Runner"
)

// Ranks is the number of ranks that a load summary tells apart. Ranks above
// count as the last.
const Ranks = 3

// RunRequest asks a sidecar to run one task when there is room for it.
type RunRequest struct {
	Run     work.RunID  `msgpack:"r"`
	Need    work.Amount `msgpack:"n"`
	Payload string      `msgpack:"p"`
	Rank    int         `msgpack:"k,omitempty"`
	// EstimateMs is the expected run time in milliseconds.
	EstimateMs int64 `msgpack:"e"`
	// WaitMs is how long the task may wait for room, in milliseconds.
	WaitMs int64 `msgpack:"w"`
	// AtOnce is true if the task is not to wait at all: another worker is believed
	// to have room.
	AtOnce bool `msgpack:"o,omitempty"`
}

// RunBatch carries starts and stops to a sidecar. Both lists keep their order;
// the stops come after the starts.
type RunBatch struct {
	Entry   ident.Process `msgpack:"e"`
	Sidecar ident.Process `msgpack:"s"`
	// Session is the one that the sidecar told last.
	Session uint64 `msgpack:"n"`
	// ClockMs is the sidecar's clock in the newest heartbeat that the sender has
	// read. It tells a batch that was held up on its way.
	ClockMs int64 `msgpack:"c"`
	// Sequence increases with each batch to this sidecar.
	Sequence uint64       `msgpack:"q"`
	Runs     []RunRequest `msgpack:"r,omitempty"`
	Stops    []work.RunID `msgpack:"x,omitempty"`
}

// RunReply answers a RunBatch. Gone is true if the addressed incarnation is not
// the one that answers, or does not know the entry instance as live; nothing
// was started then.
type RunReply struct {
	Gone bool `msgpack:"g,omitempty"`
	// Stale is true if the batch was held up on its way; nothing of this copy was
	// carried out.
	Stale bool `msgpack:"s,omitempty"`
	Load  Load `msgpack:"l"`
}

// Load summarises the room of a worker.
type Load struct {
	// Version increases with each summary of a sidecar incarnation.
	Version uint64 `msgpack:"v"`
	// Applied is the sequence of the newest batch of the receiver that the
	// summary includes.
	Applied uint64 `msgpack:"q,omitempty"`
	// Open is true if the worker takes new runs.
	Open bool `msgpack:"o,omitempty"`
	// Total is the worker's capacity, and Free what no run holds. Free is
	// negative in no dimension.
	Total work.Amount `msgpack:"t"`
	Free  work.Amount `msgpack:"f"`
	// QueuedMilliCPU is the processor need of the queued runs by rank.
	QueuedMilliCPU [Ranks]int64 `msgpack:"u,omitempty"`
	// RunningWork is the estimated rest of the running tasks, in thousandths of a
	// core times milliseconds.
	RunningWork int64 `msgpack:"n,omitempty"`
	// RankShare is the part of the capacity, 0 to 1, that the runs started of
	// late take up, by rank.
	RankShare [Ranks]float64 `msgpack:"k,omitempty"`
	// Slowness is the measured run time over the estimated one.
	Slowness float64 `msgpack:"s,omitempty"`
	// Suspect is true while the worker fails or stalls what it runs.
	Suspect bool `msgpack:"p,omitempty"`
	// Probe is true if a worker that was suspect takes one run as a probe.
	Probe bool `msgpack:"b,omitempty"`
}

// RunEnd is the end of one run.
type RunEnd struct {
	Run     work.RunID   `msgpack:"r"`
	Outcome work.Outcome `msgpack:"o,omitempty"`
	// Reason explains outcomes other than done.
	Reason string `msgpack:"w,omitempty"`
	// RunMs is the time since the start in milliseconds.
	RunMs int64 `msgpack:"m,omitempty"`
}

// EndBatch carries the ends of runs to their owner. It is repeated until it is
// acknowledged.
type EndBatch struct {
	Entry   ident.Process `msgpack:"e"`
	Sidecar ident.Process `msgpack:"s"`
	Ends    []RunEnd      `msgpack:"n"`
	Load    Load          `msgpack:"l"`
}

// EndReply acknowledges an EndBatch. Gone is true if the addressed incarnation
// is not the one that answers.
type EndReply struct {
	Gone bool `msgpack:"g,omitempty"`
}

// WorkerInfo describes a worker and the sidecar beside it.
type WorkerInfo struct {
	Sidecar Peer     `msgpack:"s"`
	Worker  string   `msgpack:"w,omitempty"`
	Service string   `msgpack:"v,omitempty"`
	Rack    string   `msgpack:"r,omitempty"`
	Labels  []string `msgpack:"l,omitempty"`
}

// RunnerBeat is the heartbeat of a sidecar.
type RunnerBeat struct {
	Info WorkerInfo `msgpack:"i"`
	Load Load       `msgpack:"l"`
	// Session changes when the sidecar has dropped all that it ran for the
	// receiver; nothing of it is at work any more.
	Session uint64 `msgpack:"n"`
	// ClockMs is the sidecar's clock when it sent the heartbeat.
	ClockMs int64 `msgpack:"c"`
}

// RunnerBeatReply answers a heartbeat. Peers are entry instances.
type RunnerBeatReply struct {
	Entry ident.Process `msgpack:"e"`
	Peers []string      `msgpack:"p,omitempty"`
}

// ConfigBeat exchanges configuration versions between entry instances. Text is
// the configuration if the sender knows that the receiver's is older.
type ConfigBeat struct {
	From    string `msgpack:"f"`
	Version uint64 `msgpack:"v"`
	Text    []byte `msgpack:"t,omitempty"`
}

// ConfigBeatReply answers a ConfigBeat with the receiver's version, and its
// configuration if that is newer than the sender's.
type ConfigBeatReply struct {
	Version uint64   `msgpack:"v"`
	Text    []byte   `msgpack:"t,omitempty"`
	Peers   []string `msgpack:"p,omitempty"`
}
