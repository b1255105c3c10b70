package memstore

import (
	"context"
	"maps"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/store"
)

// Call names a method of the store, as counted by CallCounts.
type Call string

// Calls of the store.
const (
	CallGet            Call = "get"
	CallList           Call = "list"
	CallCompareAndSwap Call = "compareAndSwap"
	CallGrant          Call = "grant"
	CallKeepAlive      Call = "keepAlive"
	CallRevoke         Call = "revoke"
	CallWatch          Call = "watch"
)

type faults struct {
	down          bool
	delay         time.Duration
	dropResponses int
	dropRequests  int
}

// Snapshot is a copy of the state of a store.
type Snapshot struct{ state state }

// SetDown makes all calls, including pending watches, return ErrUnavailable
// without effect until SetDown(false) is called.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	s.notifyWatches()
}

// SetDelay delays each response by d. A call takes effect before the delay,
// except for a watch, which begins after the delay.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// DropResponses makes the next n writes that take effect return
// ErrOutcomeUnknown.
func (s *Store) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dropResponses = n
}

// DropRequests makes the next n writes return ErrOutcomeUnknown without effect.
func (s *Store) DropRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dropRequests = n
}

// Snapshot returns a copy of the current state for a later Restore.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{state: s.state.clone()}
}

// Restore replaces the state, including the versions, by an older state, as when
// a store is restored from a backup.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = snapshot.state.clone()
	s.notifyWatches()
}

// CallCounts returns the number of calls of each operation, including failed
// calls.
func (s *Store) CallCounts() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callCounts)
}

// PendingWatches returns the number of pending watches.
func (s *Store) PendingWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingWatches
}

func (s state) clone() state {
	// Stored values are never modified, so the copy shares them.
	s.entries = maps.Clone(s.entries)
	s.deletedAt = maps.Clone(s.deletedAt)
	s.leases = maps.Clone(s.leases)
	return s
}

// read executes a read and delays its response.
func (s *Store) read(ctx context.Context, call Call, run func() error) error {
	err := s.execute(call, run)
	if errors.Is(err, store.ErrUnavailable) {
		return err
	}
	if delayErr := s.injectDelay(ctx, false); delayErr != nil {
		return delayErr
	}
	return err
}

// write executes a write with the injected faults and delays its response.
func (s *Store) write(ctx context.Context, call Call, run func() error) error {
	responseDropped := false
	err := s.execute(call, func() error {
		if s.faults.dropRequests > 0 {
			s.faults.dropRequests--
			return errors.Annotatef(store.ErrOutcomeUnknown, "%s: request lost", call)
		}
		if err := run(); err != nil {
			return err
		}
		if s.faults.dropResponses > 0 {
			s.faults.dropResponses--
			responseDropped = true
		}
		return nil
	})
	switch {
	case responseDropped:
		return errors.Annotatef(store.ErrOutcomeUnknown, "%s: answer lost", call)
	case errors.Is(err, store.ErrUnavailable):
		return err
	}
	if delayErr := s.injectDelay(ctx, true); delayErr != nil {
		return delayErr
	}
	return err
}

// execute counts a call and runs it under the lock, after ending expired leases.
func (s *Store) execute(call Call, run func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCounts[call]++
	if s.faults.down {
		return errors.Annotatef(store.ErrUnavailable, "%s", call)
	}
	s.expireLeases(0)
	return run()
}
