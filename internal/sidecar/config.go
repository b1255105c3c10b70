package sidecar

import (
	"math/rand"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/slots"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
)

// Defaults of Config.
const (
	DefaultAttachments  = 3
	DefaultBeatInterval = 500 * time.Millisecond
	DefaultSilentAfter  = 3 * time.Second
	DefaultCallTimeout  = 2 * time.Second
	DefaultBackoffBase  = 50 * time.Millisecond
	DefaultBackoffCap   = 2 * time.Second
	DefaultReadTimeout  = 5 * time.Second
	DefaultResultWait   = time.Minute
	DefaultMaxRun       = 10 * time.Minute
)

// Config holds the static settings of a sidecar. Zero values select the
// defaults.
type Config struct {
	// Instance is the name of the process, as in ident.Process.
	Instance string
	// Zone and Rack are those of the worker.
	Zone string
	Rack string
	// LocalAddress is where the backend server announces itself,
	// InternalAddress serves own processes, and OperatorAddress operators.
	// Port 0 selects a free port.
	LocalAddress    string
	InternalAddress string
	OperatorAddress string
	// AdvertiseAddress is the internal address told to entry instances; empty
	// selects the address of the listener.
	AdvertiseAddress string
	// EntryAddresses are internal addresses of entry instances, or of the
	// load balancer before them.
	EntryAddresses []string
	// Dial opens the connections to entry instances; nil selects TCP.
	Dial rpcnet.DialFunc
	// Attachments is the number of entry instances to attach to.
	Attachments int
	// BeatInterval is the time between heartbeats on an idle link.
	BeatInterval time.Duration
	// SilentAfter is the silence after which an entry instance loses its credits.
	SilentAfter time.Duration
	// CallTimeout bounds calls of entry instances.
	CallTimeout time.Duration
	// BackoffBase and BackoffCap bound the delay before another connection.
	BackoffBase time.Duration
	BackoffCap  time.Duration
	// CreditTTL, JoinDelay, LedgerRetain and ResultBytes are those of
	// slots.Config.
	CreditTTL    time.Duration
	JoinDelay    time.Duration
	LedgerRetain time.Duration
	ResultBytes  int64
	// ReadTimeout bounds the time to read a request on the HTTP ports.
	ReadTimeout time.Duration
	// ResultWait is how long results wait for an owner that can't be reached.
	ResultWait time.Duration
	// MaxRun bounds the run time of a task without a deadline of its own.
	MaxRun time.Duration
}

// Deps are the dependencies of a sidecar. Nil values select the defaults.
type Deps struct {
	// Log receives events; the default drops them.
	Log func(event string, format string, args ...any)
	// Metrics records the tasks that ended here and serves /metrics; it may be nil.
	Metrics *metrics.Registry
	// Clock returns the monotonic time since process start.
	Clock func() time.Duration
	// Rand is used by the core goroutine only.
	Rand *rand.Rand
	// Validate parses and validates a whole configuration document.
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
	setDefault(&c.BeatInterval, DefaultBeatInterval)
	setDefault(&c.SilentAfter, DefaultSilentAfter)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.BackoffBase, DefaultBackoffBase)
	setDefault(&c.BackoffCap, DefaultBackoffCap)
	setDefault(&c.CreditTTL, slots.DefaultCreditTTL)
	setDefault(&c.JoinDelay, slots.DefaultJoinDelay)
	setDefault(&c.ReadTimeout, DefaultReadTimeout)
	setDefault(&c.ResultWait, DefaultResultWait)
	setDefault(&c.MaxRun, DefaultMaxRun)
	return nil
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
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
