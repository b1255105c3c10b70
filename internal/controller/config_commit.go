package controller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store"
)

const (
	commitBackoffBase  = 5 * time.Millisecond
	commitBackoffLimit = 250 * time.Millisecond
)

// UnknownError means that an edit may or may not have been accepted. The
// caller may repeat it under the same change ID.
type UnknownError struct{ ChangeID string }

// Error implements error.
func (e *UnknownError) Error() string {
	return "outcome of change " + e.ChangeID + " is unknown"
}

// commit is one edit on its way to the store.
type commit struct {
	edit revision.Edit
	// inFlight is true while a write of the edit over pendingVersion may
	// still take effect.
	inFlight       bool
	pendingVersion uint64
}

// errRetry asks for another attempt.
const errRetry = errors.ConstError("retry")

// Commit applies an edit by compare-and-swap. An edit that was accepted
// earlier under the same change ID succeeds. Errors are those of
// revision.Apply, resource.ErrTooLarge, store.ErrUnavailable if the edit was
// certainly not accepted, and *UnknownError.
func (c *Config) Commit(ctx context.Context, e revision.Edit) (revision.Result, error) {
	if c.opts.Store == nil {
		return revision.Result{}, errors.Annotate(store.ErrUnavailable, "this process has no store")
	}
	ctx, cancel := withTimeout(ctx, c.opts.Clock, c.opts.CommitTimeout)
	defer cancel()
	select {
	case c.committing <- struct{}{}:
		defer func() { <-c.committing }()
	case <-ctx.Done():
		return revision.Result{}, errors.Annotate(store.ErrUnavailable, "waiting for earlier edits")
	}
	b := backoff{base: commitBackoffBase, limit: commitBackoffLimit}
	w := &commit{edit: e}
	for {
		res, err := c.attempt(ctx, w)
		if !errors.Is(err, errRetry) {
			return res, w.final(err)
		}
		if !sleep(ctx, c.opts.Clock, c.delay(&b)) {
			return revision.Result{}, w.final(errors.Annotate(store.ErrUnavailable, "no time left for another attempt"))
		}
	}
}

// final turns an error into "unknown" if a write may still take effect.
func (w *commit) final(err error) error {
	if err != nil && w.inFlight {
		return &UnknownError{ChangeID: w.edit.ChangeID}
	}
	return err
}

// attempt reads the document, applies the edit, and swaps it in. It returns
// errRetry if another attempt can succeed.
func (c *Config) attempt(ctx context.Context, w *commit) (revision.Result, error) {
	entry, err := c.opts.Store.Get(ctx, ConfigKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return revision.Result{}, w.retryInFlight(err)
	}
	if w.inFlight && entry.Version != w.pendingVersion {
		// Either the write took effect, which the change ID shows, or it can't
		// any more, because its version is gone.
		w.inFlight = false
	}
	base, err := c.base(entry)
	if err != nil {
		return revision.Result{}, err
	}
	next, res, err := revision.Apply(base, w.edit)
	var applied *revision.AlreadyAppliedError
	if errors.As(err, &applied) {
		w.inFlight = false
		return revision.Result{ChangeID: w.edit.ChangeID, Revision: applied.Revision, Document: base}, nil
	}
	if err != nil {
		return revision.Result{}, err
	}
	data, err := resource.Encode(next)
	if err != nil {
		return revision.Result{}, errors.Trace(err)
	}
	_, err = c.opts.Store.CompareAndSwap(ctx, ConfigKey, data, entry.Version, 0)
	switch {
	case err == nil:
		w.inFlight = false
		c.adopt(next)
		return res, nil
	case errors.Is(err, store.ErrConflict):
		return revision.Result{}, errRetry
	case errors.Is(err, store.ErrUnavailable):
		return revision.Result{}, w.retryInFlight(err)
	case errors.Is(err, store.ErrOutcomeUnknown):
		w.inFlight, w.pendingVersion = true, entry.Version
		return revision.Result{}, errRetry
	}
	return revision.Result{}, errors.Trace(err)
}

// retryInFlight asks for another attempt if the outcome is still open; else
// the edit certainly had no effect.
func (w *commit) retryInFlight(err error) error {
	if w.inFlight {
		return errRetry
	}
	return errors.Trace(err)
}

// base returns the document to edit: the newest accepted one, whether the
// store holds it or not.
func (c *Config) base(e store.KeyValue) (*resource.Document, error) {
	if e.Version == 0 {
		if doc := c.Document(); doc != nil {
			return doc, nil
		}
		return revision.Initial(), nil
	}
	verdict, stored, err := c.consider(e.Value)
	switch verdict {
	case revision.Rejected:
		return nil, errors.Annotatef(store.ErrUnavailable, "the store holds a document that this process can't use (%v)", err)
	case revision.Forked:
		return revision.Merge(c.Document(), stored).Document, nil
	}
	return c.Document(), nil
}
