// Package store defines the interface to the platform's key-value store, which
// holds the operators' configuration.
package store

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValueBytes is the size limit of a value.
const MaxValueBytes = 1 << 20

const (
	// ErrConflict means that the version given to a compare-and-swap was not
	// the current version of the key; nothing was written.
	ErrConflict = errors.ConstError("store: version conflict")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.ConstError("store: not found")
	// ErrUnavailable means that the call had no effect, because it did not reach
	// the store or the store rejected it. A read without a response also returns
	// ErrUnavailable.
	ErrUnavailable = errors.ConstError("store: unavailable")
	// ErrOutcomeUnknown means that the call may or may not have taken effect;
	// the caller has to read the key to find out.
	ErrOutcomeUnknown = errors.ConstError("store: outcome unknown")
)

// KeyValue is one key with its value.
type KeyValue struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the store's version at the last write of this key. The store's
	// version increases with each write of any key.
	Version uint64 `json:"version"`
	// Lease is the lease that the key is bound to, or zero.
	Lease LeaseID `json:"lease,omitempty"`
}

// LeaseID identifies a lease.
type LeaseID uint64

// Event is one change of a key that a watch returns.
type Event struct {
	KeyValue
	// Deleted is true if the key was deleted; Value is then empty.
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the platform's key-value store. All methods may return
// ErrUnavailable; the methods that write may also return ErrOutcomeUnknown.
type Store interface {
	// Get returns a key with its value, or ErrNotFound.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns the keys that begin with prefix, sorted, with their values,
	// and the store's version at the time of the read.
	List(ctx context.Context, prefix string) ([]KeyValue, uint64, error)
	// CompareAndSwap writes value if the key's current version is version (zero:
	// the key does not exist) and returns the new version; otherwise it returns
	// ErrConflict. A nil value deletes the key. If lease is not zero, the store
	// deletes the key when the lease ends.
	CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease LeaseID) (uint64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrNotFound if the lease has expired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits until a key that begins with prefix changes after version. It
	// returns the latest change of each changed key and the version from which to
	// continue. It returns no events if ctx or the store's maximum waiting time
	// ends first.
	Watch(ctx context.Context, prefix string, version uint64) ([]Event, uint64, error)
}
