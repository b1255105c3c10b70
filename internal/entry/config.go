// Package entry is the runtime of an entry instance: it accepts jobs from
// callers, drives the dispatch state machine, and talks to sidecars and to
// the other entry instances.
package entry

import (
	"time"

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
	// Region holds zones that are cut off from others together.
	Region string
	// CallerAddress, OperatorAddress and InternalAddress are listen addresses.
	CallerAddress, OperatorAddress, InternalAddress string
	// Advertise is the internal address that other processes use; empty
	// selects the one listened on.
	Advertise string
	// Peers are internal addresses of other entry instances.
	Peers []string
	// CreditTTL must equal that of the sidecars.
	CreditTTL time.Duration
	// BeatInterval is the interval of heartbeats to other entry instances.
	BeatInterval time.Duration
	// SelfLease bounds the time without acknowledgements from half of the
	// sidecars, and the longest pause, after which nothing is dispatched.
	SelfLease time.Duration
	// SilentAfter is the silence after which a peer is not used, and GoneAfter
	// the silence after which it is given up.
	SilentAfter, GoneAfter time.Duration
	// ReclaimAfter is the silence after which an entry instance of another
	// region is given up, so that its limit shares can be taken back.
	ReclaimAfter time.Duration
	// Window is the length of a submission window.
	Window time.Duration
	// AcceptWindows, RetainWindows and AnswerBytes are those of dispatch.Config.
	AcceptWindows, RetainWindows uint64
	AnswerBytes                  int64
	// MaxBody bounds a caller's request body in bytes.
	MaxBody int
	// ReadTimeout bounds the time to read a request.
	ReadTimeout time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// Linger is how long a draining instance without jobs goes on refusing
	// requests before it closes its ports, so that a load balancer sees its
	// health check fail first. A request on a connection that is not accepted
	// yet when the port closes is cut.
	Linger time.Duration
	// Dial opens the connections to other processes; nil selects TCP.
	Dial rpcnet.DialFunc
	// Seed of the random source; zero selects a random one.
	Seed uint64
}

// Defaults of Config.
const (
	DefaultCreditTTL    = 3 * time.Second
	DefaultBeatInterval = 500 * time.Millisecond
	DefaultSelfLease    = 2 * time.Second
	DefaultSilentAfter  = 3 * time.Second
	DefaultGoneAfter    = 20 * time.Second
	DefaultReclaimAfter = 15 * time.Minute
	DefaultWindow       = time.Minute
	DefaultMaxBody      = 8 << 20
	DefaultReadTimeout  = 10 * time.Second
	DefaultDrainTimeout = 30 * time.Second
)

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.CreditTTL, DefaultCreditTTL)
	set(&c.BeatInterval, DefaultBeatInterval)
	set(&c.SelfLease, DefaultSelfLease)
	set(&c.SilentAfter, DefaultSilentAfter)
	set(&c.GoneAfter, DefaultGoneAfter)
	set(&c.ReclaimAfter, DefaultReclaimAfter)
	set(&c.Window, DefaultWindow)
	set(&c.ReadTimeout, DefaultReadTimeout)
	set(&c.DrainTimeout, DefaultDrainTimeout)
	if c.RetainWindows == 0 {
		c.RetainWindows = dispatch.DefaultRetainWindows
	}
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	return c
}

// Configuration is the source of the dynamic configuration. It is safe for
// concurrent use.
type Configuration interface {
	// Document returns the document in force, or nil before there is one.
	Document() *resource.Document
	Revisions() wire.Revisions
	// ObserveRevision records a revision that a peer has.
	ObserveRevision(revision uint64) (behind bool)
	// Offer takes a document in JSON if it is valid and newer.
	Offer(document []byte) error
	// Pull returns the document if it is newer than the one of the request.
	Pull(req wire.PullRequest) wire.PullConfigReply
}

// Deps are the collaborators of an entry instance.
type Deps struct {
	Configuration Configuration
	// Operator adds routes to the operator port; it may be nil.
	Operator func(*router.Router)
	// Metrics may be nil.
	Metrics *metrics.Registry
	// StatusChanged is told when a revision came into force everywhere; it may
	// be nil.
	StatusChanged func()
}

// retention is how long submissions and lost members are remembered.
func (c Config) retention() time.Duration { return time.Duration(c.RetainWindows) * c.Window }
