package sidecar

import (
	"math/rand"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/slots"
	"github.com/cardamomturn/cardamomturn/internal/ingress"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
)

// Defaults of Config.
const (
	DefaultAttachments       = 3
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultEntryTimeout      = 3 * time.Second
	DefaultCallTimeout       = 2 * time.Second
	DefaultBackoffBase       = 50 * time.Millisecond
	DefaultBackoffCap        = 2 * time.Second
	DefaultReadTimeout       = 5 * time.Second
	DefaultResultTimeout     = time.Minute
	DefaultMaxRunTime        = 10 * time.Minute
)

// Config holds the static settings of a sidecar. Zero values select the
// defaults.
type Config struct {
	// Instance is the instance name of the sidecar, as in ident.Process.
	Instance string
	// Zone and Rack are the availability zone and the rack of the sidecar and its
	// backend server.
	Zone string
	Rack string
	// LocalAddress is the listen address for the announcements of the backend
	// server, InternalAddress that for RPC calls of entry instances, and
	// OperatorAddress that for the operator API. Port 0 selects a free port.
	LocalAddress    string
	InternalAddress string
	OperatorAddress string
	// AdvertiseAddress is the address that the sidecar gives entry instances for
	// calls to its internal port. If it is empty, the address of the listener is
	// used.
	AdvertiseAddress string
	// EntryAddresses are the internal addresses of entry instances or of a load
	// balancer in front of them.
	EntryAddresses []string
	// Resources are what the process may use; they bound what clients may hold.
	Resources ingress.Resources
	// Dial opens the connections to entry instances; nil selects TCP.
	Dial rpcnet.DialFunc
	// Attachments is the number of entry instances that the sidecar attaches to.
	Attachments int
	// HeartbeatInterval is the time from one heartbeat to the next. New grants and
	// state changes are sent earlier.
	HeartbeatInterval time.Duration
	// EntryTimeout is the time without a reply after which an entry instance loses
	// its credits.
	EntryTimeout time.Duration
	// CallTimeout bounds each call to an entry instance.
	CallTimeout time.Duration
	// BackoffBase bounds the delay after the first failed call to an entry instance.
	// The bound doubles with each further failure, up to BackoffCap.
	BackoffBase time.Duration
	BackoffCap  time.Duration
	// CreditTTL, JoinDelay, LedgerRetention and MaxLedgerResultBytes are CreditTTL,
	// JoinDelay, Retention and MaxResultBytes of slots.Config.
	CreditTTL            time.Duration
	JoinDelay            time.Duration
	LedgerRetention      time.Duration
	MaxLedgerResultBytes int64
	// ReadTimeout bounds the time to read a request and the time to write a response
	// on the HTTP ports.
	ReadTimeout time.Duration
	// ResultTimeout is how long the sidecar keeps results for an owner that it can't
	// reach.
	ResultTimeout time.Duration
	// MaxRunTime bounds the run time of every task, also of one with a later deadline.
	MaxRunTime time.Duration
}

// Deps are the dependencies of a sidecar. Nil values select the defaults.
type Deps struct {
	// Log receives events. The default discards them.
	Log func(event string, format string, args ...any)
	// Metrics records the tasks that this sidecar has run and serves /metrics. It may
	// be nil.
	Metrics *metrics.Registry
	// Clock returns the monotonic time since process start.
	Clock func() time.Duration
	// Rand is the random source of the core goroutine; no other goroutine uses it.
	Rand *rand.Rand
	// Validate parses and validates a configuration document. The default parses the
	// JSON and checks only the format number.
	Validate func(document []byte) (*resource.Document, error)
}

func (c *Config) setDefaults() error {
	if !ident.ValidName(c.Instance, ident.MaxInstanceLen) {
		return errors.NotValidf("instance name %.80q", c.Instance)
	}
	if len(c.EntryAddresses) == 0 {
		return errors.NotValidf("empty list of entry addresses")
	}
	for _, a := range []*string{&c.LocalAddress, &c.InternalAddress, &c.OperatorAddress} {
		setDefault(a, "127.0.0.1:0")
	}
	setDefault(&c.Attachments, DefaultAttachments)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.EntryTimeout, DefaultEntryTimeout)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.BackoffBase, DefaultBackoffBase)
	setDefault(&c.BackoffCap, DefaultBackoffCap)
	setDefault(&c.CreditTTL, slots.DefaultCreditTTL)
	setDefault(&c.JoinDelay, slots.DefaultJoinDelay)
	setDefault(&c.ReadTimeout, DefaultReadTimeout)
	setDefault(&c.ResultTimeout, DefaultResultTimeout)
	setDefault(&c.MaxRunTime, DefaultMaxRunTime)
	return nil
}

func setDefault[T comparable](v *T, defaultValue T) {
	var zero T
	if *v == zero {
		*v = defaultValue
	}
}

func (d *Deps) setDefaults() {
	if d.Log == nil {
		d.Log = func(string, string, ...any) {}
	}
	if d.Clock == nil {
		start := time.Now()
		d.Clock = func() time.Duration { return time.Since(start) }
	}
	if d.Rand == nil {
		d.Rand = rand.New(rand.NewSource(int64(rand.Uint64())))
	}
	if d.Validate == nil {
		d.Validate = parseDocument
	}
}
