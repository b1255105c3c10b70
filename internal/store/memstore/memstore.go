// Package memstore is an in-memory implementation of store.Store with fault
// injection, for tests, experiments and the standalone program. The data is lost
// when the process ends.
package memstore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/store"
)

// DefaultMaxWatchWait is the maximum time that a watch waits for a change before
// it returns without events.
const DefaultMaxWatchWait = 30 * time.Second

// MaxLeaseTTL is the longest time to live of a lease.
const MaxLeaseTTL = 24 * time.Hour

// Store implements store.Store in memory. Its methods are safe for concurrent
// use.
type Store struct {
	clock        clock.Clock
	maxWatchWait time.Duration

	mu             sync.Mutex
	state          state
	faults         faults
	callCounts     map[Call]int
	pendingWatches int
	// changed is closed and replaced when the state or the faults change.
	changed chan struct{}
}

type state struct {
	version uint64
	entries map[string]store.KeyValue
	// deletedAt maps each deleted key to the version of its deletion.
	deletedAt map[string]uint64
	leases    map[store.LeaseID]lease
	nextLease store.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

var _ store.Store = (*Store)(nil)

// New returns an empty store. A maxWatchWait of zero selects
// DefaultMaxWatchWait.
func New(c clock.Clock, maxWatchWait time.Duration) *Store {
	if maxWatchWait <= 0 {
		maxWatchWait = DefaultMaxWatchWait
	}
	return &Store{
		clock:        c,
		maxWatchWait: maxWatchWait,
		state: state{
			entries:   map[string]store.KeyValue{},
			deletedAt: map[string]uint64{},
			leases:    map[store.LeaseID]lease{},
		},
		callCounts: map[Call]int{},
		changed:    make(chan struct{}),
	}
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.KeyValue, error) {
	var kv store.KeyValue
	err := s.read(ctx, CallGet, func() error {
		found, ok := s.state.entries[key]
		if !ok {
			return errors.Annotatef(store.ErrNotFound, "key %q", key)
		}
		kv = cloneKeyValue(found)
		return nil
	})
	return kv, err
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.KeyValue, uint64, error) {
	var entries []store.KeyValue
	var version uint64
	err := s.read(ctx, CallList, func() error {
		for _, key := range slices.Sorted(maps.Keys(s.state.entries)) {
			if strings.HasPrefix(key, prefix) {
				entries = append(entries, cloneKeyValue(s.state.entries[key]))
			}
		}
		version = s.state.version
		return nil
	})
	return entries, version, err
}

// CompareAndSwap implements store.Store. The error for an empty key or a value
// above store.MaxValueBytes satisfies errors.IsNotValid.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, id store.LeaseID) (uint64, error) {
	var next uint64
	err := s.write(ctx, CallCompareAndSwap, func() error {
		if key == "" || len(value) > store.MaxValueBytes {
			return errors.NotValidf("key %q with a value of %d bytes (at most %d)", key, len(value), store.MaxValueBytes)
		}
		if current := s.state.entries[key].Version; current != version {
			return errors.Annotatef(store.ErrConflict, "key %q: version %d, not %d", key, current, version)
		}
		if _, ok := s.state.leases[id]; id != 0 && !ok {
			return errors.Annotatef(store.ErrNotFound, "lease %d", id)
		}
		if value == nil {
			s.deleteKey(key)
		} else {
			s.state.version++
			s.state.entries[key] = store.KeyValue{Key: key, Value: slices.Clone(value), Version: s.state.version, Lease: id}
			delete(s.state.deletedAt, key)
		}
		next = s.state.version
		s.notifyWatches()
		return nil
	})
	return next, err
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var id store.LeaseID
	err := s.write(ctx, CallGrant, func() error {
		if ttl <= 0 || ttl > MaxLeaseTTL {
			return errors.NotValidf("lease of %v (more than 0 and at most %v)", ttl, MaxLeaseTTL)
		}
		s.state.nextLease++
		id = s.state.nextLease
		s.state.leases[id] = lease{ttl: ttl, expiresAt: s.clock.Now().Add(ttl)}
		s.notifyWatches() // Pending watches must consider the expiry of this lease.
		return nil
	})
	return id, err
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return s.write(ctx, CallKeepAlive, func() error {
		l, ok := s.state.leases[id]
		if !ok {
			return errors.Annotatef(store.ErrNotFound, "lease %d", id)
		}
		l.expiresAt = s.clock.Now().Add(l.ttl)
		s.state.leases[id] = l
		return nil
	})
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	return s.write(ctx, CallRevoke, func() error {
		if _, ok := s.state.leases[id]; !ok {
			return errors.Annotatef(store.ErrNotFound, "lease %d", id)
		}
		s.deleteLease(id)
		s.notifyWatches()
		return nil
	})
}

// deleteKey deletes a key and increments the store's version. It does nothing if
// the key does not exist.
func (s *Store) deleteKey(key string) {
	if _, ok := s.state.entries[key]; !ok {
		return
	}
	s.state.version++
	delete(s.state.entries, key)
	s.state.deletedAt[key] = s.state.version
}

func (s *Store) deleteLease(id store.LeaseID) {
	delete(s.state.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.state.entries)) {
		if s.state.entries[key].Lease == id {
			s.deleteKey(key)
		}
	}
}

// expireLeases ends the expired leases, deletes their keys and returns the time
// until the next expiry, at most limit.
func (s *Store) expireLeases(limit time.Duration) time.Duration {
	now := s.clock.Now()
	anyExpired := false
	for _, id := range slices.Sorted(maps.Keys(s.state.leases)) {
		remaining := s.state.leases[id].expiresAt.Sub(now)
		if remaining <= 0 {
			s.deleteLease(id)
			anyExpired = true
			continue
		}
		limit = min(limit, remaining)
	}
	if anyExpired {
		s.notifyWatches()
	}
	return limit
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneKeyValue(kv store.KeyValue) store.KeyValue {
	kv.Value = slices.Clone(kv.Value)
	return kv
}
