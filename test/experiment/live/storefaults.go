package live

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/store"
	"github.com/cardamomturn/cardamomturn/internal/store/httpstore"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
)

// storeTimeout bounds one call to the store.
const storeTimeout = time.Second

// storeFaults injects faults into the store and its clients.
type storeFaults struct {
	store           *memstore.Store
	addr            string
	lostAnswerShare atomic.Pointer[float64]
}

func newStoreFaults(s *memstore.Store, addr string) *storeFaults {
	f := &storeFaults{store: s, addr: addr}
	f.lostAnswerShare.Store(new(float64))
	return f
}

func (f *storeFaults) set(v cluster.StoreFault) {
	f.store.SetDown(v.Down)
	f.store.SetDelay(v.Delay)
	f.lostAnswerShare.Store(&v.LostAnswerShare)
}

// client returns a store client that drops lostAnswerShare of the answers to
// CompareAndSwap.
func (f *storeFaults) client() (store.Store, error) {
	c, err := httpstore.New(httpstore.Settings{Address: f.addr, TimeoutMs: storeTimeout.Milliseconds()})
	if err != nil {
		return nil, errors.Annotate(err, "create the store client")
	}
	return &lossyStore{Store: c, faults: f}, nil
}

// lossyStore is a store client that drops a share of the answers to CompareAndSwap.
type lossyStore struct {
	store.Store
	faults *storeFaults
}

// CompareAndSwap calls the store and, for a random share of the calls, returns
// ErrOutcomeUnknown in place of the result, whether the call took effect or failed.
func (l *lossyStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease store.LeaseID) (uint64, error) {
	v, err := l.Store.CompareAndSwap(ctx, key, value, version, lease)
	if rand.Float64() < *l.faults.lostAnswerShare.Load() {
		return 0, errors.Annotate(store.ErrOutcomeUnknown, "answer lost by the experiment")
	}
	return v, err
}
