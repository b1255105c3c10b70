package queues

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/event"
)

// Source reads the configuration from the place where operators store it.
type Source interface {
	// Read returns the newest configuration, or nil if there is none, and the
	// position to watch from.
	Read(ctx context.Context) (*Config, uint64, error)
	// Watch waits for a change after a position. It returns the newest
	// configuration, or nil if the wait ended without a change, and the position
	// for the next call.
	Watch(ctx context.Context, position uint64) (*Config, uint64, error)
	// Decode decodes Config.Encoded, which peers send.
	Decode(text []byte) (*Config, error)
}

const (
	// minRetryDelay and maxRetryDelay bound the delay after a failed Read or Watch,
	// before the jitter is applied.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Controller keeps the newest configuration in force. It accepts versions from
// the source and from peers, and ignores those that are not higher than the
// version in force.
type Controller struct {
	source Source
	// OnChange is called with each new table after the table has come into force;
	// it may be nil.
	OnChange func(*Table)

	table atomic.Pointer[Table]
	mu    sync.Mutex // serializes changes of table
	// sourceReachable is true while calls to the source succeed.
	sourceReachable atomic.Bool
}

// NewController returns a controller without a configuration.
func NewController(source Source) *Controller { return &Controller{source: source} }

// Table returns the table of the configuration in force, nil before the first
// one.
func (c *Controller) Table() *Table { return c.table.Load() }

// Version returns the version in force, zero before the first one.
func (c *Controller) Version() uint64 {
	if t := c.Table(); t != nil {
		return t.Config.Version
	}
	return 0
}

// Run reads the source and applies each new version until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		config, position, err := c.source.Read(ctx)
		if err == nil {
			delay = minRetryDelay
			c.recordSourceResult(nil)
			c.Apply(config, "store")
			err = c.watch(ctx, position)
		}
		if ctx.Err() != nil {
			return
		}
		c.recordSourceResult(err)
		// The jitter spreads the reads of processes that lost the store at the
		// same time.
		clock.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// watch applies changes of the source until a call fails or ctx ends. Watches begin at
// least minRetryDelay apart, because the store may end each one at once.
func (c *Controller) watch(ctx context.Context, position uint64) error {
	for ctx.Err() == nil {
		startedAt := time.Now()
		config, next, err := c.source.Watch(ctx, position)
		if err != nil {
			return err
		}
		position = next
		c.Apply(config, "store")
		clock.Sleep(ctx, minRetryDelay-time.Since(startedAt))
	}
	return nil
}

// recordSourceResult records the result of a call to the source, and logs when
// the source becomes unreachable or reachable.
func (c *Controller) recordSourceResult(err error) {
	if wasReachable := c.sourceReachable.Swap(err == nil); wasReachable == (err == nil) {
		return
	}
	if err != nil {
		event.LogTo(klog.Background(), event.DependencyLost, "dependency", "store", "version", c.Version(), "err", err)
		return
	}
	event.LogTo(klog.Background(), event.DependencyRegained, "dependency", "store", "version", c.Version())
}

// ApplyEncoded applies an encoded configuration that a peer sent, if it is newer.
func (c *Controller) ApplyEncoded(text []byte, from string) {
	config, err := c.source.Decode(text)
	if err != nil {
		event.LogTo(klog.Background(), event.ConfigRejected, "from", from, "err", err)
		return
	}
	c.Apply(config, from)
}

// Apply puts a configuration into force if it is newer than the one in force. It
// ignores nil. From names the sender in the log.
func (c *Controller) Apply(config *Config, from string) {
	if config == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if config.Version <= c.Version() {
		return
	}
	t, err := NewTable(config, time.Now())
	if err != nil {
		event.LogTo(klog.Background(), event.ConfigRejected, "version", config.Version, "from", from, "err", err)
		return
	}
	for _, err := range t.Rejected {
		event.LogRateLimited(event.QueueRejected, "version", config.Version, "from", from, "err", err)
	}
	previous := c.Version()
	c.table.Store(t)
	event.LogTo(klog.Background(), event.ConfigInForce, "version", config.Version, "before", previous, "queues", len(config.Queues), "from", from)
	if c.OnChange != nil {
		c.OnChange(t)
	}
}
