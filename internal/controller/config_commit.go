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
	commitBackoffBase = 5 * time.Millisecond
	commitBackoffMax  = 250 * time.Millisecond
)

// OutcomeUnknownError means that an edit may or may not have been accepted. The
// caller may repeat the edit under the same change ID.
type OutcomeUnknownError struct{ ChangeID string }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return "outcome of change " + e.ChangeID + " is unknown"
}

// pendingCommit is an edit that Commit is writing to the store.
type pendingCommit struct {
	edit revision.Edit
	// outcomeUnknown is true while a write of the edit may have taken effect or
	// may still take effect. That write expects the key to have
	// expectedVersion.
	outcomeUnknown  bool
	expectedVersion uint64
}

// errRetry tells Commit to make another attempt.
const errRetry = errors.ConstError("retry")

// Commit applies an edit by compare-and-swap. It succeeds if the edit was
// accepted earlier under the same change ID. It returns the errors of
// revision.Apply, resource.ErrTooLarge, store.ErrUnavailable if the edit was
// certainly not accepted, and *OutcomeUnknownError if the edit may have been
// accepted.
func (c *ConfigController) Commit(ctx context.Context, e revision.Edit) (revision.Result, error) {
	if c.opts.Store == nil {
		return revision.Result{}, errors.Annotate(store.ErrUnavailable, "this process has no store")
	}
	ctx, cancel := withTimeout(ctx, c.opts.Clock, c.opts.CommitTimeout)
	defer cancel()
	select {
	case c.commitSemaphore <- struct{}{}:
		defer func() { <-c.commitSemaphore }()
	case <-ctx.Done():
		return revision.Result{}, errors.Annotate(store.ErrUnavailable, "timeout or shutdown while waiting for an earlier edit")
	}
	b := backoff{baseDelay: commitBackoffBase, maxDelay: commitBackoffMax}
	p := &pendingCommit{edit: e}
	for {
		res, err := c.tryCommit(ctx, p)
		if !errors.Is(err, errRetry) {
			return res, p.finalError(err)
		}
		if !sleep(ctx, c.opts.Clock, c.retryDelay(&b)) {
			return revision.Result{}, p.finalError(errors.Annotate(store.ErrUnavailable, "no time left for another attempt"))
		}
	}
}

// finalError returns the error of Commit. It replaces err by
// *OutcomeUnknownError if a write may have taken effect.
func (p *pendingCommit) finalError(err error) error {
	if err != nil && p.outcomeUnknown {
		return &OutcomeUnknownError{ChangeID: p.edit.ChangeID}
	}
	return err
}

// tryCommit reads the document, applies the edit, and writes the result by
// compare-and-swap. It returns errRetry if another attempt can succeed.
func (c *ConfigController) tryCommit(ctx context.Context, p *pendingCommit) (revision.Result, error) {
	kv, err := c.opts.Store.Get(ctx, ConfigKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return revision.Result{}, p.retryIfOutcomeUnknown(err)
	}
	if p.outcomeUnknown && kv.Version != p.expectedVersion {
		// The version of the key has changed. Either the edit's own write took
		// effect, and then the document contains the change ID, or that write can
		// no longer take effect, because the key no longer has the version that
		// the write expects.
		p.outcomeUnknown = false
	}
	base, err := c.documentToEdit(kv)
	if err != nil {
		return revision.Result{}, err
	}
	next, res, err := revision.Apply(base, p.edit)
	var applied *revision.AlreadyAppliedError
	if errors.As(err, &applied) {
		p.outcomeUnknown = false
		return revision.Result{ChangeID: p.edit.ChangeID, Revision: applied.Revision, Document: base}, nil
	}
	if err != nil {
		return revision.Result{}, err
	}
	data, err := resource.Encode(next)
	if err != nil {
		return revision.Result{}, errors.Trace(err)
	}
	_, err = c.opts.Store.CompareAndSwap(ctx, ConfigKey, data, kv.Version, 0)
	switch {
	case err == nil:
		p.outcomeUnknown = false
		c.adopt(next)
		return res, nil
	case errors.Is(err, store.ErrConflict):
		return revision.Result{}, errRetry
	case errors.Is(err, store.ErrUnavailable):
		return revision.Result{}, p.retryIfOutcomeUnknown(err)
	case errors.Is(err, store.ErrOutcomeUnknown):
		p.outcomeUnknown, p.expectedVersion = true, kv.Version
		return revision.Result{}, errRetry
	}
	return revision.Result{}, errors.Trace(err)
}

// retryIfOutcomeUnknown returns errRetry if a write of the edit may have taken
// effect. Otherwise the edit certainly had no effect, and err is returned.
func (p *pendingCommit) retryIfOutcomeUnknown(err error) error {
	if p.outcomeUnknown {
		return errRetry
	}
	return errors.Trace(err)
}

// documentToEdit returns the newer of the stored and the held document, or the
// merged document if the two have forked. If there is neither, it returns the
// initial document. kv is the key read from the store.
func (c *ConfigController) documentToEdit(kv store.KeyValue) (*resource.Document, error) {
	if kv.Version == 0 {
		if doc := c.Document(); doc != nil {
			return doc, nil
		}
		return revision.Initial(), nil
	}
	verdict, stored, err := c.consider(kv.Value)
	switch verdict {
	case revision.Rejected:
		return nil, errors.Annotatef(store.ErrUnavailable, "the store holds a document that this process can't use (%v)", err)
	case revision.Forked:
		return revision.Merge(c.Document(), stored).Document, nil
	}
	return c.Document(), nil
}
