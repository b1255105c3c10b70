package standin

import (
	"context"
	"maps"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/store"
)

// Call is a kind of call that the store counts.
type Call string

// Kinds of calls.
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
	down         bool
	delay        time.Duration
	loseAnswers  int
	loseRequests int
}

// Snapshot is an earlier state of a store.
type Snapshot struct{ data data }

// SetDown makes all calls, pending watches included, return ErrUnavailable
// without effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	s.wake()
}

// SetDelay delays each answer by d, after the call has taken effect.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseAnswers makes the next n writes that take effect return ErrUnknown.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
}

// LoseRequests makes the next n writes return ErrUnknown without effect.
func (s *Store) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseRequests = n
}

// Snapshot returns a copy of the present state for a later Restore.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{data: s.data.clone()}
}

// Restore goes back to an older state, versions included, as a service does
// that was restored from a backup.
func (s *Store) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = from.data.clone()
	s.wake()
}

// Calls returns how often each kind of call was made, failed ones included.
func (s *Store) Calls() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Watches returns the number of pending watches.
func (s *Store) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (d data) clone() data {
	// Entries are immutable once stored, so their values are shared.
	d.entries = maps.Clone(d.entries)
	d.deleted = maps.Clone(d.deleted)
	d.leases = maps.Clone(d.leases)
	return d
}

// read counts a call, runs it under the lock, and delays its answer.
func (s *Store) read(ctx context.Context, call Call, run func() error) error {
	err := s.execute(call, run)
	if errors.Is(err, store.ErrUnavailable) {
		return err
	}
	if late := s.delay(ctx, false); late != nil {
		return late
	}
	return err
}

// write is like read, and applies the faults of writes.
func (s *Store) write(ctx context.Context, call Call, run func() error) error {
	lost := false
	err := s.execute(call, func() error {
		if s.faults.loseRequests > 0 {
			s.faults.loseRequests--
			return errors.Annotatef(store.ErrUnknown, "%s: request lost", call)
		}
		if err := run(); err != nil {
			return err
		}
		if s.faults.loseAnswers > 0 {
			s.faults.loseAnswers--
			lost = true
		}
		return nil
	})
	switch {
	case lost:
		return errors.Annotatef(store.ErrUnknown, "%s: answer lost", call)
	case errors.Is(err, store.ErrUnavailable):
		return err
	}
	if late := s.delay(ctx, true); late != nil {
		return late
	}
	return err
}

func (s *Store) execute(call Call, run func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call]++
	if s.faults.down {
		return errors.Annotatef(store.ErrUnavailable, "%s", call)
	}
	s.expire(0)
	return run()
}
