package standin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/store"
)

// Watch implements store.Store. A version above the store's, as after a
// restore, returns all entries below the prefix at once.
func (s *Store) Watch(ctx context.Context, prefix string, version uint64) ([]store.Event, uint64, error) {
	s.mu.Lock()
	s.calls[CallWatch]++
	s.watches++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watches--
		s.mu.Unlock()
	}()
	if err := s.delay(ctx, false); err != nil {
		return nil, 0, err
	}
	end := s.clock.Now().Add(s.maxWait)
	for {
		s.mu.Lock()
		wait := s.expire(end.Sub(s.clock.Now()))
		events, next := s.since(prefix, version)
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

// since returns the changes after version and the version to continue from.
func (s *Store) since(prefix string, version uint64) ([]store.Event, uint64) {
	if version > s.data.version {
		version = 0
	}
	var events []store.Event
	for key, e := range s.data.entries {
		if e.Version > version && strings.HasPrefix(key, prefix) {
			events = append(events, store.Event{Entry: copyEntry(e)})
		}
	}
	for key, v := range s.data.deleted {
		if v > version && strings.HasPrefix(key, prefix) {
			events = append(events, store.Event{Entry: store.Entry{Key: key, Version: v}, Deleted: true})
		}
	}
	slices.SortFunc(events, func(a, b store.Event) int { return cmp.Compare(a.Version, b.Version) })
	return events, s.data.version
}

// delay waits for the injected delay. It returns an error of the given kind
// of call if ctx ends first.
func (s *Store) delay(ctx context.Context, write bool) error {
	s.mu.Lock()
	d := s.faults.delay
	s.mu.Unlock()
	if d <= 0 {
		return nil
	}
	select {
	case <-s.clock.After(d):
		return nil
	case <-ctx.Done():
		return errors.Annotatef(outcome(write), "no answer within the caller's time (delay %v)", d.Round(time.Millisecond))
	}
}

func outcome(write bool) error {
	if write {
		return store.ErrUnknown
	}
	return store.ErrUnavailable
}
