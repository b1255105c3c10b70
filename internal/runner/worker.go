package runner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Report is a worker's report about itself.
type Report struct {
	ID      string
	Service string
	// Address is the "ip:port" at which the worker accepts calls.
	Address string
	Rack    string
	Labels  []string
	// Incarnation is the start time of the worker process in Unix milliseconds,
	// and Sequence the number of the report within the incarnation.
	Incarnation int64
	Sequence    uint64
	// ClockMs is the worker's clock in milliseconds when it sent the report, zero if unknown.
	ClockMs  int64
	Capacity work.Resources
	Draining bool
}

// sameProcess reports whether two reports are of one worker process.
func (r Report) sameProcess(other Report) bool {
	return r.ID == other.ID && r.Incarnation == other.Incarnation
}

// ErrRefused means that the worker has answered a call with a refusal: the call had no effect.
const ErrRefused = errors.ConstError("refused by the worker")

// WorkerClient calls the worker at one address. It is safe for concurrent use.
type WorkerClient interface {
	// StartRun starts a run. The result is occupancy.Unanswered if the worker may
	// have started the run or may still start it.
	StartRun(ctx context.Context, req StartRequest) StartReply
	// StopRun stops a run, and prevents a start of the run that is still on its way
	// to the worker. It returns nil if the worker has confirmed the stop, and an error that
	// satisfies errors.Is(err, ErrRefused) if the worker has refused the call.
	StopRun(ctx context.Context, run work.RunID, fencingToken int64) error
	// PollStatus extends the leases, acknowledges ended runs and requests the
	// running and the ended runs. Its error satisfies errors.Is(err, ErrRefused) if the
	// worker has refused the call.
	PollStatus(ctx context.Context, req StatusRequest) (StatusReply, error)
	// Close closes the connections.
	Close()
}

// StartRequest asks the worker to start a run.
type StartRequest struct {
	// WorkerID and Incarnation identify the worker process for which the run was chosen. No
	// other process at the address gets the request.
	WorkerID     string
	Incarnation  int64
	Run          work.RunID
	Payload      string
	FencingToken int64
	// LeaseEndMs is the time at which the leases of all runs expire, in
	// milliseconds of the worker's clock.
	LeaseEndMs int64
}

// StartReply is the worker's reply to a StartRequest.
type StartReply struct {
	Result occupancy.StartResult
	Reason string
	// Fenced is true if the worker has seen a higher fencing token.
	Fenced bool
	// Unreachable is true if no connection leads to the worker process: its address refuses
	// connections, or another process answers there.
	Unreachable bool
	// ClockMs is the worker's clock in milliseconds, zero if unknown.
	ClockMs int64
}

// StatusRequest requests the running and the ended runs of the worker.
type StatusRequest struct {
	FencingToken int64
	// LastSeenEnd is the number of the newest ended run that the sidecar has
	// received. The request acknowledges the ended runs up to this number.
	LastSeenEnd uint64
	// LeaseEndMs is as in StartRequest; zero leaves the leases unchanged.
	LeaseEndMs int64
	// Wait is the longest time that the worker waits for the end of a run before it
	// replies.
	Wait time.Duration
}

// StatusReply is the worker's reply to a StatusRequest.
type StatusReply struct {
	// Fenced is true if the worker has seen a higher fencing token. The other
	// fields are not set in that case.
	Fenced      bool
	Incarnation int64
	ClockMs     int64
	Running     []occupancy.Progress
	Ended       []occupancy.EndedRun
	// MoreEnds is true if the worker may hold ends that did not fit into the reply.
	MoreEnds bool
	// NewestEnd is the number of the newest run in Ended, zero if Ended is empty.
	NewestEnd uint64
}
