// Package controller keeps the state that processes share in step: the
// configuration, the limits, and the membership.
package controller

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// ConfigKey is the store key of the document.
	ConfigKey = "config"
	// DefaultCommitTimeout bounds a commit with its retries and read-backs.
	DefaultCommitTimeout = 5 * time.Second

	// wakeDelay is the time that the store's watch gets to show a revision that
	// came from a peer before the store is read again.
	wakeDelay = 5 * time.Second

	watchBackoffBase  = 100 * time.Millisecond
	watchBackoffLimit = 10 * time.Second
)

// Logf writes a log line; controllers accept it as a parameter.
type Logf func(format string, args ...any)

// ConfigOptions are the dependencies of a Config controller.
type ConfigOptions struct {
	// Store is nil in a process that takes documents from peers only.
	Store store.Store
	Clock clock.Clock
	// Rand gives the jitter of retries; the controller takes it over.
	Rand *rand.Rand
	Log  Logf
	// CommitTimeout bounds a commit; zero selects DefaultCommitTimeout.
	CommitTimeout time.Duration
}

// Config keeps the configuration document of a process. All methods may be
// called from several goroutines.
type Config struct {
	opts    ConfigOptions
	current atomic.Pointer[published]
	// kick asks the watch loop to read the store soon.
	kick chan struct{}
	// committing admits one commit at a time.
	committing chan struct{}

	mu      sync.Mutex // guards machine, forked, lastRejection and opts.Rand
	machine *revision.Tracker
	// forked is a peer's document that waits to be joined with the held one.
	forked *resource.Document
	// lastRejection is the last error logged, so that the same bytes offered
	// with every heartbeat are logged once.
	lastRejection error

	notifyMu    sync.Mutex // guards what follows, held during callbacks
	subscribers map[int]func(*resource.Document)
	nextID      int
	told        uint64
}

// published is a document with its JSON form, encoded on demand.
type published struct {
	doc  *resource.Document
	json func() ([]byte, error)
}

// NewConfig returns a controller without a document; Run keeps it in step
// with the store.
func NewConfig(o ConfigOptions) *Config {
	if o.CommitTimeout <= 0 {
		o.CommitTimeout = DefaultCommitTimeout
	}
	return &Config{
		opts:        o,
		kick:        make(chan struct{}, 1),
		committing:  make(chan struct{}, 1),
		machine:     revision.NewTracker(),
		subscribers: map[int]func(*resource.Document){},
	}
}

// Document returns the document in force, or nil. It must not be modified.
func (c *Config) Document() *resource.Document {
	if p := c.current.Load(); p != nil {
		return p.doc
	}
	return nil
}

// Ready reports whether the process has a document.
func (c *Config) Ready() bool { return c.current.Load() != nil }

// Revisions returns the revisions for heartbeats.
func (c *Config) Revisions() wire.Revisions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Revisions()
}

// NoteKnown records a revision that a peer has. Behind reports whether the
// document has to be pulled from it.
func (c *Config) NoteKnown(rev uint64) (behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.ObserveRevision(rev)
	return rev > c.machine.Revisions().InForce
}

// Pull answers a peer's request for a newer document.
func (c *Config) Pull(req wire.PullRequest) wire.PullConfigReply {
	p := c.current.Load()
	if p == nil || p.doc.Revision <= req.HaveRevision {
		return wire.PullConfigReply{}
	}
	data, err := p.json()
	if err != nil {
		c.opts.Log("configuration revision %d can't be encoded for a peer: %v", p.doc.Revision, err)
		return wire.PullConfigReply{}
	}
	return wire.PullConfigReply{Revision: p.doc.Revision, Document: data}
}

// Offer takes a document from a peer if it is valid and newer. The error says
// why a document was rejected; an older document is no error. One that has
// forked from the held one is joined with it at the next read of the store.
func (c *Config) Offer(data []byte) error {
	if doc := c.Document(); doc != nil {
		if rev := resource.PeekRevision(data); rev != 0 && rev <= doc.Revision {
			return nil
		}
	}
	verdict, doc, err := c.consider(data)
	if verdict == revision.Forked {
		c.mu.Lock()
		c.forked = doc
		c.mu.Unlock()
	}
	if verdict == revision.Adopted || verdict == revision.Forked {
		// The store may lack this revision after a restore.
		c.wakeWatch()
	}
	return errors.Annotate(err, "document of a peer")
}

// Subscribe calls f with the present document, if there is one, and with each
// later one, in order and one at a time; revisions in quick succession may be
// skipped over. f must return soon, and must not subscribe or cancel.
func (c *Config) Subscribe(f func(*resource.Document)) (cancel func()) {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	id := c.nextID
	c.nextID++
	c.subscribers[id] = f
	if doc := c.Document(); doc != nil && c.told == doc.Revision {
		f(doc)
	}
	return func() {
		c.notifyMu.Lock()
		defer c.notifyMu.Unlock()
		delete(c.subscribers, id)
	}
}

// consider passes a document to the machine and publishes it if adopted.
func (c *Config) consider(data []byte) (revision.Verdict, *resource.Document, error) {
	c.mu.Lock()
	verdict, doc, err := c.machine.Consider(data)
	if verdict == revision.Adopted {
		c.publishLocked(doc)
	}
	report := verdict == revision.Rejected && err != c.lastRejection
	if report {
		c.lastRejection = err
	}
	c.mu.Unlock()
	if verdict == revision.Adopted {
		c.notify()
	}
	if report {
		c.opts.Log("configuration revision %d rejected, the one in force stays: %v", resource.PeekRevision(data), err)
	}
	return verdict, doc, err
}

// adopt takes a document that this process has committed.
func (c *Config) adopt(doc *resource.Document) {
	c.mu.Lock()
	verdict := c.machine.Adopt(doc)
	if verdict == revision.Adopted {
		c.publishLocked(doc)
	}
	c.mu.Unlock()
	if verdict == revision.Adopted {
		c.notify()
	}
	// The store may go back before the watch shows this revision.
	c.wakeWatch()
}

func (c *Config) publishLocked(doc *resource.Document) {
	c.current.Store(&published{
		doc:  doc,
		json: sync.OnceValues(func() ([]byte, error) { return resource.Encode(doc) }),
	})
}

// notify tells the subscribers of the newest document.
func (c *Config) notify() {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	doc := c.Document()
	if doc.Revision <= c.told {
		return
	}
	c.told = doc.Revision
	for id := 0; id < c.nextID; id++ {
		if f := c.subscribers[id]; f != nil {
			f(doc)
		}
	}
}

func (c *Config) wakeWatch() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

func (c *Config) delay(b *backoff) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return b.next(c.opts.Rand)
}
