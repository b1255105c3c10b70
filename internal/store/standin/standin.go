// Package standin is an in-memory implementation of store.Store with fault
// injection, for tests, experiments and the standalone program. It keeps
// nothing across restarts.
package standin

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

// DefaultMaxWait is how long a watch waits for a change before it returns
// without events.
const DefaultMaxWait = 30 * time.Second

// MaxLease is the longest time to live of a lease.
const MaxLease = 24 * time.Hour

// Store implements store.Store in memory. Its methods may be called from
// several goroutines.
type Store struct {
	clock   clock.Clock
	maxWait time.Duration

	mu      sync.Mutex
	data    data
	faults  faults
	calls   map[Call]int
	watches int
	// changed is closed and replaced when the data or the faults change.
	changed chan struct{}
}

type data struct {
	version uint64
	entries map[string]store.Entry
	// deleted holds the versions at which missing keys were deleted.
	deleted   map[string]uint64
	leases    map[store.LeaseID]lease
	nextLease store.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var _ store.Store = (*Store)(nil)

// New returns an empty store. A maxWait of zero selects DefaultMaxWait.
func New(c clock.Clock, maxWait time.Duration) *Store {
	if maxWait <= 0 {
		maxWait = DefaultMaxWait
	}
	return &Store{
		clock:   c,
		maxWait: maxWait,
		data: data{
			entries: map[string]store.Entry{},
			deleted: map[string]uint64{},
			leases:  map[store.LeaseID]lease{},
		},
		calls:   map[Call]int{},
		changed: make(chan struct{}),
	}
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	var e store.Entry
	err := s.read(ctx, CallGet, func() error {
		found, ok := s.data.entries[key]
		if !ok {
			return errors.Annotatef(store.ErrNotFound, "key %q", key)
		}
		e = copyEntry(found)
		return nil
	})
	return e, err
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	var entries []store.Entry
	var version uint64
	err := s.read(ctx, CallList, func() error {
		for _, key := range slices.Sorted(maps.Keys(s.data.entries)) {
			if strings.HasPrefix(key, prefix) {
				entries = append(entries, copyEntry(s.data.entries[key]))
			}
		}
		version = s.data.version
		return nil
	})
	return entries, version, err
}

// CompareAndSwap implements store.Store. A key that is empty or a value above
// store.MaxValue satisfies errors.IsNotValid.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, id store.LeaseID) (uint64, error) {
	var next uint64
	err := s.write(ctx, CallCompareAndSwap, func() error {
		if key == "" || len(value) > store.MaxValue {
			return errors.NotValidf("key %q with a value of %d bytes (at most %d)", key, len(value), store.MaxValue)
		}
		if current := s.data.entries[key].Version; current != version {
			return errors.Annotatef(store.ErrConflict, "key %q: version %d, not %d", key, current, version)
		}
		if _, ok := s.data.leases[id]; id != 0 && !ok {
			return errors.Annotatef(store.ErrNotFound, "lease %d", id)
		}
		if value == nil {
			s.remove(key)
		} else {
			s.data.version++
			s.data.entries[key] = store.Entry{Key: key, Value: slices.Clone(value), Version: s.data.version, Lease: id}
			delete(s.data.deleted, key)
		}
		next = s.data.version
		s.wake()
		return nil
	})
	return next, err
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var id store.LeaseID
	err := s.write(ctx, CallGrant, func() error {
		if ttl <= 0 || ttl > MaxLease {
			return errors.NotValidf("lease of %v (more than 0 and at most %v)", ttl, MaxLease)
		}
		s.data.nextLease++
		id = s.data.nextLease
		s.data.leases[id] = lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
		s.wake() // Pending watches wait for the nearest expiry.
		return nil
	})
	return id, err
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return s.write(ctx, CallKeepAlive, func() error {
		l, ok := s.data.leases[id]
		if !ok {
			return errors.Annotatef(store.ErrNotFound, "lease %d", id)
		}
		l.expires = s.clock.Now().Add(l.ttl)
		s.data.leases[id] = l
		return nil
	})
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	return s.write(ctx, CallRevoke, func() error {
		if _, ok := s.data.leases[id]; !ok {
			return errors.Annotatef(store.ErrNotFound, "lease %d", id)
		}
		s.endLease(id)
		s.wake()
		return nil
	})
}

// remove deletes a key under a new version; a missing key is left alone.
func (s *Store) remove(key string) {
	if _, ok := s.data.entries[key]; !ok {
		return
	}
	s.data.version++
	delete(s.data.entries, key)
	s.data.deleted[key] = s.data.version
}

func (s *Store) endLease(id store.LeaseID) {
	delete(s.data.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.data.entries)) {
		if s.data.entries[key].Lease == id {
			s.remove(key)
		}
	}
}

// expire ends the leases that are over and returns the time to the next expiry,
// at most limit.
func (s *Store) expire(limit time.Duration) time.Duration {
	now := s.clock.Now()
	ended := false
	for _, id := range slices.Sorted(maps.Keys(s.data.leases)) {
		left := s.data.leases[id].expires.Sub(now)
		if left <= 0 {
			s.endLease(id)
			ended = true
			continue
		}
		limit = min(limit, left)
	}
	if ended {
		s.wake()
	}
	return limit
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func copyEntry(e store.Entry) store.Entry {
	e.Value = slices.Clone(e.Value)
	return e
}
