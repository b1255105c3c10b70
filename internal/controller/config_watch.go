package controller

import (
	"context"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store"
)

// Run synchronizes the controller with the store until ctx ends. It reads the
// document, writes the newest revision back if the store was restored to an
// older one, and waits for changes with one pending watch.
func (c *ConfigController) Run(ctx context.Context) {
	if c.opts.Store == nil {
		<-ctx.Done()
		return
	}
	b := backoff{baseDelay: retryBackoffBase, maxDelay: retryBackoffMax}
	for ctx.Err() == nil {
		err := c.reconcileAndWatch(ctx)
		if err == nil {
			b.reset()
			continue
		}
		if b.failures == 0 && ctx.Err() == nil {
			c.opts.Log("configuration watch: %v; retrying", err)
		}
		if !sleep(ctx, c.opts.Clock, c.retryDelay(&b)) {
			return
		}
	}
}

// reconcileAndWatch reads the store once, reconciles the document, and waits
// for the next change. The read after each watch also detects that the store
// was restored to an older state, if the watch didn't report it.
func (c *ConfigController) reconcileAndWatch(ctx context.Context) error {
	heldBeforeRead := c.Document()
	kvs, version, err := c.opts.Store.List(ctx, ConfigKey)
	if err != nil {
		return errors.Trace(err)
	}
	var found store.KeyValue
	for _, kv := range kvs {
		if kv.Key == ConfigKey {
			found = kv
		}
	}
	switch err := c.reconcile(ctx, found, heldBeforeRead); {
	case errors.Is(err, errStaleRead):
		return nil
	case err != nil:
		return err
	}
	return c.waitForChange(ctx, version)
}

// waitForChange waits for a change after version. After a call of
// requestReread, it waits for at most rereadDelay. Usually the store has the
// revision that a peer offered or that this process committed, and the watch
// returns by itself. The watch doesn't return if the store was restored to
// exactly the version from which the watch waits. A canceled watch may stay
// pending at the store until its waiting time ends, so cancellations must be
// rare.
func (c *ConfigController) waitForChange(ctx context.Context, version uint64) error {
	watchCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	// Wait for the goroutine, so that the next read of the store follows each
	// request that the goroutine has received.
	defer func() {
		cancel()
		<-done
	}()
	go func() {
		defer close(done)
		select {
		case <-c.rereadRequest:
			if sleep(watchCtx, c.opts.Clock, rereadDelay) {
				cancel()
			}
		case <-watchCtx.Done():
		}
	}()
	_, _, err := c.opts.Store.Watch(watchCtx, ConfigKey, version)
	if watchCtx.Err() != nil {
		return nil
	}
	return errors.Trace(err)
}

// errStaleRead means that the read of the store shows an older revision than the held
// one, which may have been written after the read. That is no evidence of a restored
// store, so the store has to be read again.
const errStaleRead = errors.ConstError("the store was read before the held document was adopted")

// reconcile compares the stored document with the held one and writes the
// newest accepted state to the store if the store lacks it. kv.Version is 0 if
// the store has no document. heldBeforeRead is the document that was held when the
// read of the store began.
func (c *ConfigController) reconcile(ctx context.Context, kv store.KeyValue, heldBeforeRead *resource.Document) error {
	if kv.Version == 0 {
		return c.writeMissingDocument(ctx)
	}
	verdict, stored, _ := c.consider(kv.Value)
	switch verdict {
	case revision.Older:
		held := c.Document()
		if held != heldBeforeRead {
			return errStaleRead
		}
		return c.writeDocument(ctx, held, kv.Version, "the store had reverted to configuration revision %d; revision %d was written back", stored.Revision, held.Revision)
	case revision.Forked:
		held := c.Document()
		merged := revision.Merge(held, stored)
		return c.writeDocument(ctx, merged.Document, kv.Version, "the store's configuration revision %d had forked from revision %d; merged as revision %d, changes dropped: %v",
			stored.Revision, held.Revision, merged.Document.Revision, merged.Dropped)
	}
	if verdict == revision.Rejected {
		// The held document stays in use. An error would make Run read the store
		// again, but the same bytes would only be rejected again, so the loop waits
		// for the next change.
		return nil
	}
	return c.mergeForkedDocument(ctx, kv.Version)
}

// mergeForkedDocument merges the held document, which the store has under the
// given version, with a document that a peer offered and that contains changes
// of its own. It writes the merged document to the store. The two documents
// fork if the entry instances and the store lost accepted edits that a sidecar
// still has, and another edit was accepted before the sidecar offered its copy.
func (c *ConfigController) mergeForkedDocument(ctx context.Context, version uint64) error {
	forked := c.openFork()
	if forked == nil {
		return nil
	}
	held := c.Document()
	// The held document is the second argument, because its changes were accepted
	// last.
	merged := revision.Merge(forked, held)
	return c.writeDocument(ctx, merged.Document, version, "a peer's configuration revision %d had forked from revision %d; merged as revision %d, changes dropped: %v",
		forked.Revision, held.Revision, merged.Document.Revision, merged.Dropped)
}

// openFork returns the document that a peer has offered, or nil if there is none or if the
// held document contains its changes by now.
func (c *ConfigController) openFork() *resource.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.forkedDocument != nil && c.tracker.Compare(c.forkedDocument) != revision.Forked {
		c.forkedDocument = nil
	}
	return c.forkedDocument
}

// writeMissingDocument writes the held document, or the initial one if there is
// none, to a store without a document.
func (c *ConfigController) writeMissingDocument(ctx context.Context) error {
	if held := c.Document(); held != nil {
		return c.writeDocument(ctx, held, 0, "the store had lost the configuration; revision %d was written back", held.Revision)
	}
	return c.writeDocument(ctx, revision.Initial(), 0, "the store had no configuration; the default one was created")
}

// writeDocument writes doc if the key still has the given version. It adopts
// doc and logs the reason for the write.
func (c *ConfigController) writeDocument(ctx context.Context, doc *resource.Document, version uint64, logFormat string, args ...any) error {
	data, err := resource.Encode(doc)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := c.opts.Store.CompareAndSwap(ctx, ConfigKey, data, version, 0); err != nil {
		return errors.Annotatef(err, "write of configuration revision %d", doc.Revision)
	}
	c.adopt(doc)
	c.opts.Log(logFormat, args...)
	return nil
}
