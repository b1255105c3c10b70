// Package store defines the narrow interface to the platform's key-value
// service, which holds the operators' configuration.
package store

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValue is the largest value in bytes.
const MaxValue = 1 << 20

const (
	// ErrConflict means that the version of a compare-and-swap was not the
	// current one; nothing was written.
	ErrConflict = errors.ConstError("store: version conflict")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.ConstError("store: not found")
	// ErrUnavailable means that the call certainly had no effect, because it
	// did not reach the service or was rejected by it.
	ErrUnavailable = errors.ConstError("store: unavailable")
	// ErrUnknown means that the call may or may not have taken effect; the
	// caller has to read back.
	ErrUnknown = errors.ConstError("store: outcome unknown")
)

// Entry is one key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version increases with each write of any key.
	Version uint64 `json:"version"`
	// Lease is the lease that the key is bound to, or zero.
	Lease LeaseID `json:"lease,omitempty"`
}

// LeaseID names a lease.
type LeaseID uint64

// Event is one change of a key seen by a watch.
type Event struct {
	Entry
	// Deleted is true if the key was removed; Value is then empty.
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the platform's key-value service. All methods may return
// ErrUnavailable; those that write may return ErrUnknown.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with prefix, sorted by key,
	// and the store's version at the time of the reading.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap writes value if the key's version is version (zero: the
	// key does not exist) and returns the new version. A nil value deletes
	// the key. A lease other than zero bounds the life of the key. It may
	// return ErrConflict.
	CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease LeaseID) (uint64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrNotFound if it has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits until a key beginning with prefix changes after version,
	// and returns the changes (the newest of each key) and the version to
	// continue from. It returns no events when ctx or the service's maximum
	// waiting time ends first.
	Watch(ctx context.Context, prefix string, version uint64) ([]Event, uint64, error)
}
