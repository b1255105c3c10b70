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
	var found store.Entry
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

// watch waits for a change after version or for wakeWatch.
func (c *Config) watch(ctx context.Context, version uint64) error {
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-c.kick:
			cancel()
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
func (c *Config) reconcile(ctx context.Context, e store.Entry) error {
	target := c.Document()
	if e.Version != 0 {
		verdict, stored, err := c.consider(e.Value)
		switch verdict {
		case revision.Same, revision.Adopted:
			return nil
		case revision.Rejected:
			// The old document stays. Waiting for the next change is right,
			// because reading the same bytes again can't help.
			return nil
		case revision.Older:
			target = c.Document()
			c.opts.Log("the store went back from configuration revision %d to %d; writing revision %d back", target.Revision, stored.Revision, target.Revision)
		case revision.Forked:
			target = c.merge(c.Document(), stored)
		default:
			return errors.Trace(err)
		}
	} else if target == nil {
		target = revision.Initial()
		c.opts.Log("the store has no configuration; creating the default one")
	}
	return c.write(ctx, target, e.Version)
}

func (c *Config) merge(held, stored *resource.Document) *resource.Document {
	m := revision.Merge(held, stored)
	c.opts.Log("the store's configuration revision %d has forked from revision %d; joined as revision %d, not taken: %v",
		stored.Revision, held.Revision, m.Document.Revision, m.Dropped)
	return m.Document
}

// write stores doc over the entry of the given version and adopts it.
func (c *Config) write(ctx context.Context, doc *resource.Document, version uint64) error {
	data, err := resource.Encode(doc)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := c.opts.Store.CompareAndSwap(ctx, ConfigKey, data, version, 0); err != nil {
		return errors.Annotatef(err, "write of configuration revision %d", doc.Revision)
	}
	c.adopt(doc)
	return nil
}
