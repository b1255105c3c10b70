package memstore

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/store"
)

// Watch implements store.Store. If version is above the store's version, which
// happens after a restore, Watch immediately returns all keys with the prefix.
func (s *Store) Watch(ctx context.Context, prefix string, version uint64) ([]store.Event, uint64, error) {
	s.mu.Lock()
	s.callCounts[CallWatch]++
	s.pendingWatches++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.pendingWatches--
		s.mu.Unlock()
	}()
	if err := s.injectDelay(ctx, false); err != nil {
		return nil, 0, err
	}
	end := s.clock.Now().Add(s.maxWatchWait)
	for {
		s.mu.Lock()
		wait := s.expireLeases(end.Sub(s.clock.Now()))
		events, next := s.changesSince(prefix, version)
		down, changed := s.faults.down, s.changed
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, errors.Annotate(store.ErrUnavailable, "watch")
		case len(events) > 0 || wait <= 0:
			return events, next, nil
		}
		select {
		case <-changed:
		case <-s.clock.After(wait):
		case <-ctx.Done():
			return nil, next, nil
		}
	}
}

// changesSince returns the changes after version and the version from which to
// continue.
func (s *Store) changesSince(prefix string, version uint64) ([]store.Event, uint64) {
	if version > s.state.version {
		version = 0
	}
	var events []store.Event
	for key, kv := range s.state.entries {
		if kv.Version > version && strings.HasPrefix(key, prefix) {
			events = append(events, store.Event{KeyValue: cloneKeyValue(kv)})
		}
	}
	for key, v := range s.state.deletedAt {
		if v > version && strings.HasPrefix(key, prefix) {
			events = append(events, store.Event{KeyValue: store.KeyValue{Key: key, Version: v}, Deleted: true})
		}
	}
	slices.SortFunc(events, func(a, b store.Event) int { return cmp.Compare(a.Version, b.Version) })
	return events, s.state.version
}

// injectDelay waits for the delay set by SetDelay. If ctx ends first, it returns
// the store error for a read or write without a response.
func (s *Store) injectDelay(ctx context.Context, write bool) error {
	s.mu.Lock()
	delay := s.faults.delay
	s.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	select {
	case <-s.clock.After(delay):
		return nil
	case <-ctx.Done():
		return errors.Annotatef(unknownEffectError(write), "no answer before the caller's context ended (delay %v)", delay.Round(time.Millisecond))
	}
}

// unknownEffectError returns the store error for a call without a response.
func unknownEffectError(write bool) error {
	if write {
		return store.ErrOutcomeUnknown
	}
	return store.ErrUnavailable
}
