// Package controller synchronizes a process with the state that the processes
// share through the store: the configuration, the limit allocation, and the
// registrations of entry instances.
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
	// ConfigKey is the store key of the configuration document.
	ConfigKey = "config"
	// DefaultCommitTimeout bounds a commit, including its retries and reads.
	DefaultCommitTimeout = 5 * time.Second

	// rereadDelay is how long the watch may take to return a revision that a
	// peer offered or this process committed before the store is read again.
	rereadDelay = 5 * time.Second

	retryBackoffBase = 100 * time.Millisecond
	retryBackoffMax  = 10 * time.Second
)

// Logf writes a log line.
type Logf func(format string, args ...any)

// ConfigOptions are the dependencies of a ConfigController.
type ConfigOptions struct {
	// Store is nil in a process that receives documents only from peers.
	Store store.Store
	Clock clock.Clock
	// Rand is the source of the jitter of retries. Only the controller may use
	// it.
	Rand *rand.Rand
	Log  Logf
	// CommitTimeout bounds a commit; zero selects DefaultCommitTimeout.
	CommitTimeout time.Duration
}

// ConfigController keeps the configuration document of a process in sync with
// the store and with peers. It is safe for concurrent use.
type ConfigController struct {
	opts ConfigOptions
	// current is the document in force, also called the held document.
	current atomic.Pointer[publishedDocument]
	// rereadRequest asks the watch loop to read the store again after
	// rereadDelay.
	rereadRequest chan struct{}
	// commitSemaphore admits one commit at a time.
	commitSemaphore chan struct{}

	mu      sync.Mutex // guards tracker, forkedDocument, lastLoggedRejection and opts.Rand
	tracker *revision.Tracker
	// forkedDocument is a document that a peer offered and that is still to be
	// merged with the held one.
	forkedDocument *resource.Document
	// lastLoggedRejection is the last logged error of a rejected document. The
	// tracker returns the same error for the same bytes, so that an invalid
	// document is logged once, even if a peer offers it with every heartbeat.
	lastLoggedRejection error

	notifyMu    sync.Mutex // guards the fields below, held during callbacks
	subscribers map[int]func(*resource.Document)
	nextID      int
	// notifiedRevision is the newest revision that all subscribers have received.
	// It changes only while notifyMu is held.
	notifiedRevision atomic.Uint64
}

// publishedDocument is a document with a function that returns its JSON form.
// The document is encoded once, at the first call.
type publishedDocument struct {
	doc    *resource.Document
	encode func() ([]byte, error)
}

// NewConfigController returns a controller without a document. Run synchronizes
// it with the store.
func NewConfigController(o ConfigOptions) *ConfigController {
	if o.CommitTimeout <= 0 {
		o.CommitTimeout = DefaultCommitTimeout
	}
	return &ConfigController{
		opts:            o,
		rereadRequest:   make(chan struct{}, 1),
		commitSemaphore: make(chan struct{}, 1),
		tracker:         revision.NewTracker(),
		subscribers:     map[int]func(*resource.Document){},
	}
}

// Document returns the document in force, or nil if there is none. The caller
// must not modify it.
func (c *ConfigController) Document() *resource.Document {
	if p := c.current.Load(); p != nil {
		return p.doc
	}
	return nil
}

// Ready reports whether the process has a document.
func (c *ConfigController) Ready() bool { return c.current.Load() != nil }

// Revisions returns the revisions that the process reports in heartbeats. A revision
// is in force once all subscribers have it.
func (c *ConfigController) Revisions() wire.Revisions {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.tracker.Revisions()
	r.InForce = min(r.InForce, c.notifiedRevision.Load())
	return r
}

// ObserveRevision records a revision that a peer has. behind reports whether
// that revision is newer than the one in force, so that the document has to be
// pulled from the peer.
func (c *ConfigController) ObserveRevision(rev uint64) (behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.ObserveRevision(rev)
	return rev > c.tracker.Revisions().InForce
}

// Pull returns the document in force if it is newer than the one of the
// requesting peer, or an empty reply otherwise.
func (c *ConfigController) Pull(req wire.PullRequest) wire.PullConfigReply {
	p := c.current.Load()
	if p == nil || p.doc.Revision <= req.HaveRevision {
		return wire.PullConfigReply{}
	}
	data, err := p.encode()
	if err != nil {
		c.opts.Log("configuration revision %d can't be encoded for a peer: %v", p.doc.Revision, err)
		return wire.PullConfigReply{}
	}
	return wire.PullConfigReply{Revision: p.doc.Revision, Document: data}
}

// Offer adopts the document of a peer if it is valid and newer. The error says
// why a document was rejected; a document that is not newer is ignored without
// an error. A newer document that has forked from the held one is merged with it
// at the next read of the store.
func (c *ConfigController) Offer(data []byte) error {
	if doc := c.Document(); doc != nil {
		if rev := resource.PeekRevision(data); rev != 0 && rev <= doc.Revision {
			return nil
		}
	}
	verdict, doc, err := c.consider(data)
	if verdict == revision.Forked {
		c.mu.Lock()
		c.forkedDocument = doc
		c.mu.Unlock()
	}
	if verdict == revision.Adopted || verdict == revision.Forked {
		// A store that was restored to an older state lacks this revision.
		c.requestReread()
	}
	return errors.Annotate(err, "document from a peer")
}

// Subscribe calls f with the current document, if there is one, and with each
// later one, in order and one at a time. Revisions in quick succession may be
// skipped. A revision counts as in force once f has returned. f must return quickly
// and must not call Subscribe or cancel.
func (c *ConfigController) Subscribe(f func(*resource.Document)) (cancel func()) {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	id := c.nextID
	c.nextID++
	c.subscribers[id] = f
	if doc := c.Document(); doc != nil && c.notifiedRevision.Load() == doc.Revision {
		f(doc)
	}
	return func() {
		c.notifyMu.Lock()
		defer c.notifyMu.Unlock()
		delete(c.subscribers, id)
	}
}

// consider passes a document to the tracker and publishes it if the tracker
// adopts it. It logs why a document was rejected, unless the last logged
// rejection was of the same document.
func (c *ConfigController) consider(data []byte) (revision.Verdict, *resource.Document, error) {
	verdict, doc, shouldLog, err := c.decide(data)
	if verdict == revision.Adopted {
		c.notifySubscribers()
	}
	if shouldLog {
		c.opts.Log("configuration revision %d rejected; the revision in force stays in use: %v", resource.PeekRevision(data), err)
	}
	return verdict, doc, err
}

// decide is the part of consider that holds the mutex. It releases it also on a panic,
// after which a request handler goes on: the tracker changes nothing before it has decided.
func (c *ConfigController) decide(data []byte) (verdict revision.Verdict, doc *resource.Document, shouldLog bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict, doc, err = c.tracker.Consider(data)
	if verdict == revision.Adopted {
		c.publishLocked(doc)
	}
	shouldLog = verdict == revision.Rejected && err != c.lastLoggedRejection
	if shouldLog {
		c.lastLoggedRejection = err
	}
	return verdict, doc, shouldLog, err
}

// adopt adopts a document that this process has written to the store.
func (c *ConfigController) adopt(doc *resource.Document) {
	if c.decideWritten(doc) == revision.Adopted {
		c.notifySubscribers()
	}
	// The store may be restored to an older state before the watch returns this
	// revision.
	c.requestReread()
}

// decideWritten is the part of adopt that holds the mutex.
func (c *ConfigController) decideWritten(doc *resource.Document) revision.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict := c.tracker.Adopt(doc)
	if verdict == revision.Adopted {
		c.publishLocked(doc)
	}
	return verdict
}

// publishLocked makes doc the current document. The caller holds c.mu.
func (c *ConfigController) publishLocked(doc *resource.Document) {
	c.current.Store(&publishedDocument{
		doc:    doc,
		encode: sync.OnceValues(func() ([]byte, error) { return resource.Encode(doc) }),
	})
}

// notifySubscribers passes the current document to the subscribers, unless they
// have already received it.
func (c *ConfigController) notifySubscribers() {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	doc := c.Document()
	if doc.Revision <= c.notifiedRevision.Load() {
		return
	}
	for id := 0; id < c.nextID; id++ {
		if f := c.subscribers[id]; f != nil {
			f(doc)
		}
	}
	c.notifiedRevision.Store(doc.Revision)
}

// requestReread makes the watch loop read the store again after rereadDelay.
func (c *ConfigController) requestReread() {
	select {
	case c.rereadRequest <- struct{}{}:
	default:
	}
}

func (c *ConfigController) retryDelay(b *backoff) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return b.nextDelay(c.opts.Rand)
}
