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

// Source is where operators put the configuration.
type Source interface {
	// Read returns the newest configuration and the position to watch from.
	Read(ctx context.Context) (*Config, uint64, error)
	// Watch waits for a change after a position and returns the newest
	// configuration, nil if there is no change yet, and the next position.
	Watch(ctx context.Context, position uint64) (*Config, uint64, error)
	// Decode reads the encoded form that a peer sent.
	Decode(text []byte) (*Config, error)
}

const (
	// readPause and maxReadPause bound the pause after a failed reading.
	readPause    = 50 * time.Millisecond
	maxReadPause = 400 * time.Millisecond
)

// Controller keeps the newest configuration in force. It takes versions from
// the source and from peers, whichever comes first, and never goes back.
type Controller struct {
	source Source
	// Changed is told of each new table after it came into force; it may be nil.
	Changed func(*Table)

	table atomic.Pointer[Table]
	mu    sync.Mutex // serialises changes
	// reachable is true while the source answers.
	reachable atomic.Bool
}

// NewController returns a controller without a configuration.
func NewController(source Source) *Controller { return &Controller{source: source} }

// Table returns the configuration in force, nil before the first one.
func (c *Controller) Table() *Table { return c.table.Load() }

// Version returns the version in force, zero before the first one.
func (c *Controller) Version() uint64 {
	if t := c.Table(); t != nil {
		return t.Config.Version
	}
	return 0
}

// Run follows the source until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	pause := readPause
	for ctx.Err() == nil {
		config, position, err := c.source.Read(ctx)
		if err == nil {
			pause = readPause
			c.reached(nil)
			c.Take(config, "store")
			err = c.watch(ctx, position)
		}
		if ctx.Err() != nil {
			return
		}
		c.reached(err)
		// The jitter keeps processes that lost the store together apart.
		clock.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxReadPause)
	}
}

// watch follows changes until a watch fails.
func (c *Controller) watch(ctx context.Context, position uint64) error {
	for {
		config, next, err := c.source.Watch(ctx, position)
		if err != nil {
			return err
		}
		position = next
		c.Take(config, "store")
	}
}

// reached logs when the source is lost or regained.
func (c *Controller) reached(err error) {
	if was := c.reachable.Swap(err == nil); was == (err == nil) {
		return
	}
	if err != nil {
		event.LogTo(klog.Background(), event.DependencyLost, "dependency", "store", "version", c.Version(), "err", err)
		return
	}
	event.LogTo(klog.Background(), event.DependencyRegained, "dependency", "store", "version", c.Version())
}

// TakeText takes the configuration that a peer sent.
func (c *Controller) TakeText(text []byte, from string) {
	config, err := c.source.Decode(text)
	if err != nil {
		event.LogTo(klog.Background(), event.ConfigRejected, "from", from, "err", err)
		return
	}
	c.Take(config, from)
}

// Take puts a configuration into force if it is newer; nil is ignored.
func (c *Controller) Take(config *Config, from string) {
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
	before := c.Version()
	c.table.Store(t)
	event.LogTo(klog.Background(), event.ConfigInForce, "version", config.Version, "before", before, "queues", len(config.Queues), "from", from)
	if c.Changed != nil {
		c.Changed(t)
	}
}
