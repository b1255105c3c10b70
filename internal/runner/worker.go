package runner

import (
	"context"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Report is what a worker says of itself.
type Report struct {
	ID      string
	Service string
	// Address is the "ip:port" at which the worker takes orders.
	Address string
	Rack    string
	Labels  []string
	// Born is the time of the worker's start in Unix milliseconds, and Sequence
	// the number of the report in this life.
	Born     int64
	Sequence uint64
	Capacity work.Resources
	Draining bool
}

// Worker is one life of a worker as the sidecar calls it. Its methods may be
// called from several goroutines.
type Worker interface {
	// Start orders a run. Answered is false if the worker may have carried it
	// out, now or later.
	Start(ctx context.Context, o StartOrder) StartAnswer
	// Stop orders the end of a run, and prevents a start that is still under
	// way. It returns nil if the worker confirmed it.
	Stop(ctx context.Context, run work.RunID, token int64) error
	// Look extends the lease, acknowledges ends and asks what runs.
	Look(ctx context.Context, o LookOrder) (LookAnswer, error)
	// Close closes the connections.
	Close()
}

// StartOrder orders a run.
type StartOrder struct {
	// Worker is the identifier of the worker that is meant; another one at the
	// address rejects the order.
	Worker  string
	Run     work.RunID
	Payload string
	Token   int64
	// Until is when the leases of all runs lapse, in milliseconds of the
	// worker's clock.
	Until int64
}

// StartAnswer is the worker's answer to a StartOrder.
type StartAnswer struct {
	Result occupancy.StartResult
	Reason string
	// Fenced is true if the worker has seen a higher token.
	Fenced bool
	// ClockMs is the worker's clock, zero if unknown.
	ClockMs int64
}

// LookOrder asks what runs.
type LookOrder struct {
	Token int64
	// Seen is the number of the newest end taken note of.
	Seen uint64
	// Until is as in StartOrder; zero leaves the leases as they are.
	Until int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// LookAnswer is the worker's answer to a LookOrder.
type LookAnswer struct {
	// Fenced is true if the worker has seen a higher token; nothing else is set.
	Fenced  bool
	Born    int64
	ClockMs int64
	Running []occupancy.Progress
	Ended   []occupancy.EndedRun
	// Newest is the number of the newest end listed, zero if none is.
	Newest uint64
}
