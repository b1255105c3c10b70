// Package entry runs an entry instance. It accepts jobs from callers, feeds the
// dispatch state machine, and exchanges messages with the sidecars and the other
// entry instances.
package entry

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/ingress"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/fasthttp/router"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
)

// Config is the static configuration of an entry instance.
type Config struct {
	Instance string
	Zone     string
	// Region names a group of zones that lose contact with the other regions at the
	// same time.
	Region string
	// CallerAddress, OperatorAddress and InternalAddress are listen addresses.
	CallerAddress, OperatorAddress, InternalAddress string
	// Advertise is the internal address that other processes use; empty
	// selects the address of the listener.
	Advertise string
	// Peers are the internal addresses of other entry instances.
	Peers []string
	// CreditTTL is the lifetime of an unspent credit; it must equal the
	// CreditTTL of the sidecars.
	CreditTTL time.Duration
	// HeartbeatInterval is the time between heartbeats to another entry instance.
	HeartbeatInterval time.Duration
	// SelfLease is how long an acknowledgement from a sidecar is valid. The instance
	// dispatches nothing while it has valid acknowledgements from fewer than half of
	// the attached sidecars. A pause of the process that is longer than SelfLease ends
	// the incarnation.
	SelfLease time.Duration
	// SilentAfter is the time without contact after which a sidecar or entry
	// instance is not used. DeadAfter is the time without contact after which a
	// sidecar is declared dead. It is also the longest time for which a holder of
	// limit shares in the same region is missing before it is declared dead; see
	// missingTimeout.
	SilentAfter, DeadAfter time.Duration
	// ReclaimAfter is the time without contact after which any entry instance, also
	// one of another region, is declared dead, so that its limit shares can be
	// reclaimed. If it is less than DeadAfter, DeadAfter replaces it, except in the
	// reclaim of limit shares.
	ReclaimAfter time.Duration
	// Window is the length of a submission window.
	Window time.Duration
	// AcceptWindows and RetainWindows are passed to dispatch.Config, and
	// AnswerBytes becomes its ResultBytes.
	AcceptWindows, RetainWindows uint64
	AnswerBytes                  int64
	// PayloadBytes is passed to dispatch.Config.
	PayloadBytes int64
	// MaxBodyBytes is the maximum size of a caller's request body.
	MaxBodyBytes int
	// ReadTimeout is the maximum time to read a request.
	ReadTimeout time.Duration
	// DrainTimeout is the maximum time that a graceful shutdown waits until all jobs
	// are answered and ShutdownDelay has passed.
	DrainTimeout time.Duration
	// ShutdownDelay is how long a draining instance without jobs keeps its ports
	// open and refuses requests, so that load balancers see its health check fail
	// before the ports close. Closing a port breaks the connections that the
	// process has not accepted, and their requests fail.
	ShutdownDelay time.Duration
	// Resources are what the process may use; they bound what clients may hold.
	Resources ingress.Resources
	// Dial opens the connections to other processes; nil selects TCP.
	Dial rpcnet.DialFunc
	// Seed is the seed of the random source; zero selects a random seed.
	Seed uint64
}

// Default values of Config.
const (
	DefaultCreditTTL         = 3 * time.Second
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultSelfLease         = 2 * time.Second
	DefaultSilentAfter       = 3 * time.Second
	DefaultDeadAfter         = 20 * time.Second
	DefaultReclaimAfter      = 15 * time.Minute
	DefaultWindow            = time.Minute
	DefaultMaxBodyBytes      = 8 << 20
	DefaultReadTimeout       = 10 * time.Second
	DefaultDrainTimeout      = 30 * time.Second
)

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.CreditTTL, DefaultCreditTTL)
	set(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	set(&c.SelfLease, DefaultSelfLease)
	set(&c.SilentAfter, DefaultSilentAfter)
	set(&c.DeadAfter, DefaultDeadAfter)
	set(&c.ReclaimAfter, DefaultReclaimAfter)
	set(&c.Window, DefaultWindow)
	set(&c.ReadTimeout, DefaultReadTimeout)
	set(&c.DrainTimeout, DefaultDrainTimeout)
	if c.RetainWindows == 0 {
		c.RetainWindows = dispatch.DefaultRetainWindows
	}
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return c
}

// ConfigSource is the source of the dynamic configuration. It is safe for
// concurrent use.
type ConfigSource interface {
	// Document returns the document in force, or nil before the first one.
	Document() *resource.Document
	Revisions() wire.Revisions
	// ObserveRevision records a revision that another process reported. behind is
	// true if the revision is newer than the one in force.
	ObserveRevision(revision uint64) (behind bool)
	// Offer puts a JSON document into force if it is valid and newer.
	Offer(document []byte) error
	// Pull returns the document if it is newer than the revision in the request.
	Pull(req wire.PullRequest) wire.PullConfigReply
}

// Deps are the dependencies of an entry instance.
type Deps struct {
	ConfigSource ConfigSource
	// AddOperatorRoutes adds routes to the operator port; it may be nil.
	AddOperatorRoutes func(*router.Router)
	// Metrics records job metrics; it may be nil.
	Metrics *metrics.Registry
	// StatusChanged is called when all live processes have a new revision in
	// force; it may be nil.
	StatusChanged func()
}

// retention is how long submissions and ended processes are remembered.
func (c Config) retention() time.Duration { return time.Duration(c.RetainWindows) * c.Window }
