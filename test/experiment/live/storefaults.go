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

// storeTimeout bounds a call of the store.
const storeTimeout = time.Second

// storeFaults makes the store misbehave.
type storeFaults struct {
	store *memstore.Store
	addr  string
	lose  atomic.Pointer[float64]
}

func newStoreFaults(s *memstore.Store, addr string) *storeFaults {
	f := &storeFaults{store: s, addr: addr}
	f.lose.Store(new(float64))
	return f
}

func (f *storeFaults) set(v cluster.StoreFault) {
	f.store.SetDown(v.Down)
	f.store.SetDelay(v.Delay)
	f.lose.Store(&v.LostAnswerShare)
}

// client returns a client of the store that loses answers.
func (f *storeFaults) client() (store.Store, error) {
	c, err := httpstore.New(httpstore.Settings{Address: f.addr, TimeoutMs: storeTimeout.Milliseconds()})
	if err != nil {
		return nil, errors.Annotate(err, "client of the store")
	}
	return &lossyStore{Store: c, faults: f}, nil
}

// lossyStore drops a share of the answers to writes.
type lossyStore struct {
	store.Store
	faults *storeFaults
}

// CompareAndSwap may lose the answer after the write took effect.
func (l *lossyStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease store.LeaseID) (uint64, error) {
	v, err := l.Store.CompareAndSwap(ctx, key, value, version, lease)
	if rand.Float64() < *l.faults.lose.Load() {
		return 0, errors.Annotate(store.ErrOutcomeUnknown, "answer lost by the experiment")
	}
	return v, err
}
