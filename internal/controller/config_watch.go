package controller

import (
	"context"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store"
)

// Run keeps the controller in step with the store until ctx ends: it reads the
// document, repairs the store if it went back to an older revision, and waits
// for changes with one pending watch.
func (c *Config) Run(ctx context.Context) {
	if c.opts.Store == nil {
		<-ctx.Done()
		return
	}
	b := backoff{base: watchBackoffBase, limit: watchBackoffLimit}
	for ctx.Err() == nil {
		err := c.step(ctx)
		if err == nil {
			b.reset()
			continue
		}
		if b.failures == 0 && ctx.Err() == nil {
			c.opts.Log("configuration watch: %v; retrying", err)
		}
		if !sleep(ctx, c.opts.Clock, c.delay(&b)) {
			return
		}
	}
}

// step reads the store once and waits for the next change. The read after
// each watch also finds a store that went back without the watch noticing.
func (c *Config) step(ctx context.Context) error {
	entries, version, err := c.opts.Store.List(ctx, ConfigKey)
	if err != nil {
		return errors.Trace(err)
	}
	var found store.KeyValue
	for _, e := range entries {
		if e.Key == ConfigKey {
			found = e
		}
	}
	if err := c.reconcile(ctx, found); err != nil {
		return err
	}
	return c.watch(ctx, version)
}

// watch waits for a change after version, or until wakeDelay after wakeWatch. In
// the usual case the store has the revision that a peer offered or that this
// process committed, and the watch returns by itself. It does not if the store
// went back to exactly the version that the watch waits from. An abandoned watch may stay pending at the service until
// its waiting time ends, so it must be rare.
func (c *Config) watch(ctx context.Context, version uint64) error {
	wctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	// Waiting for the goroutine makes sure that the next read of the store
	// follows each request that it took.
	defer func() {
		cancel()
		<-done
	}()
	go func() {
		defer close(done)
		select {
		case <-c.kick:
			if sleep(wctx, c.opts.Clock, wakeDelay) {
				cancel()
			}
		case <-wctx.Done():
		}
	}()
	_, _, err := c.opts.Store.Watch(wctx, ConfigKey, version)
	if wctx.Err() != nil {
		return nil
	}
	return errors.Trace(err)
}

// reconcile compares the stored entry (version 0: none) with the held
// document and writes to the store what it lacks.
func (c *Config) reconcile(ctx context.Context, e store.KeyValue) error {
	if e.Version == 0 {
		return c.fill(ctx)
	}
	verdict, stored, _ := c.consider(e.Value)
	switch verdict {
	case revision.Older:
		held := c.Document()
		return c.write(ctx, held, e.Version, "the store went back to configuration revision %d; revision %d is written back", stored.Revision, held.Revision)
	case revision.Forked:
		held := c.Document()
		m := revision.Merge(held, stored)
		return c.write(ctx, m.Document, e.Version, "the store's configuration revision %d had forked from revision %d; joined as revision %d, not taken: %v",
			stored.Revision, held.Revision, m.Document.Revision, m.Dropped)
	}
	if verdict == revision.Rejected {
		// The old document stays. Waiting for the next change is right, because
		// reading the same bytes again can't help.
		return nil
	}
	return c.join(ctx, e.Version)
}

// join writes the union of the held document, which the store has under the
// given version, and of one that a peer offered and that has changes of its
// own. That happens if entry instances and the store lost the accepted edits
// that a sidecar still has, and an edit was accepted before the sidecar offered
// its copy.
func (c *Config) join(ctx context.Context, version uint64) error {
	c.mu.Lock()
	other := c.forked
	if other != nil && c.machine.Compare(other) != revision.Forked {
		other, c.forked = nil, nil
	}
	c.mu.Unlock()
	if other == nil {
		return nil
	}
	held := c.Document()
	// The changes of the held document were accepted last.
	m := revision.Merge(other, held)
	return c.write(ctx, m.Document, version, "a peer's configuration revision %d had forked from revision %d; joined as revision %d, not taken: %v",
		other.Revision, held.Revision, m.Document.Revision, m.Dropped)
}

// fill writes the held or the default document to a store without one.
func (c *Config) fill(ctx context.Context) error {
	if held := c.Document(); held != nil {
		return c.write(ctx, held, 0, "the store had lost the configuration; revision %d is written back", held.Revision)
	}
	return c.write(ctx, revision.Initial(), 0, "the store had no configuration; the default one is created")
}

// write stores doc over the entry of the given version, adopts it, and logs why.
func (c *Config) write(ctx context.Context, doc *resource.Document, version uint64, why string, args ...any) error {
	data, err := resource.Encode(doc)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := c.opts.Store.CompareAndSwap(ctx, ConfigKey, data, version, 0); err != nil {
		return errors.Annotatef(err, "write of configuration revision %d", doc.Revision)
	}
	c.adopt(doc)
	c.opts.Log(why, args...)
	return nil
}
