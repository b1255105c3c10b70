// Package directory keeps a list of the entry instances in the platform's store,
// for processes whose seed addresses no longer answer. Processes do not need the
// list while any seed address answers.
package directory

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/store"
)

const (
	// pollInterval is the longest time between two reads of the list, and retryInterval the
	// mean delay after a failed access.
	pollInterval  = 20 * time.Second
	retryInterval = 700 * time.Millisecond
	// A process that reaches no entry instance reads the list again after a mean delay of
	// minAloneDelay, which doubles with each further read up to maxAloneDelay. After a loss of
	// power, 910 sidecars so read the list 1,300 times a second at first, and 180 times a second
	// for as long as no entry instance is there.
	minAloneDelay = 700 * time.Millisecond
	maxAloneDelay = 5 * time.Second
	// aloneCheckInterval is the time between two checks whether a process reaches any.
	aloneCheckInterval = time.Second
)

// record is the value stored for an entry instance.
type record struct {
	Address string `json:"address"`
}

// Directory is the list of entry instances in the store: one key for each instance,
// under a common prefix.
type Directory struct {
	store  store.Store
	prefix string
}

// New returns the directory whose keys begin with prefix.
func New(s store.Store, prefix string) *Directory { return &Directory{store: s, prefix: prefix} }

// RegisterAndPoll registers an instance with its internal address, and then polls
// the list until ctx ends. Other processes contact an instance that is alone.
func (d *Directory) RegisterAndPoll(ctx context.Context, instance, address string, add func(address string)) {
	d.retry(ctx, retryInterval, func() error { return d.register(ctx, instance, address) })
	d.Poll(ctx, add, func() bool { return false })
}

// Poll reads the list at regular intervals until ctx ends and calls add with each
// address in it. It reads more often while alone returns true: the process reaches no
// entry instance.
func (d *Directory) Poll(ctx context.Context, add func(address string), alone func() bool) {
	delay := minAloneDelay
	for ctx.Err() == nil {
		d.retry(ctx, retryInterval, func() error {
			entries, _, err := d.store.List(ctx, d.prefix)
			for _, e := range entries {
				r, err := decodeRecord(e.Value)
				if err != nil {
					event.LogRateLimited(event.ConfigControllerFault, "detail", "unreadable directory record", "key", e.Key, "err", err)
					continue
				}
				add(r.Address)
			}
			return err
		})
		delay = waitForRead(ctx, delay, alone)
	}
}

// waitForRead waits until the list is to be read again. delay is the mean delay of a process
// that is alone; waitForRead returns that for the next call.
func waitForRead(ctx context.Context, delay time.Duration, alone func() bool) (next time.Duration) {
	for readAt := time.Now(); ctx.Err() == nil && time.Since(readAt) < pollInterval; {
		if !alone() {
			delay = minAloneDelay
			clock.Sleep(ctx, aloneCheckInterval)
			continue
		}
		clock.Sleep(ctx, delay/2+rand.N(delay))
		if alone() {
			return min(2*delay, maxAloneDelay)
		}
	}
	return delay
}

// decodeRecord decodes the record of an instance. Errors satisfy errors.IsNotValid if the record
// names no address.
func decodeRecord(text []byte) (record, error) {
	var r record
	if err := json.Unmarshal(text, &r); err != nil {
		return r, errors.Trace(err)
	}
	if address, err := netip.ParseAddrPort(r.Address); err != nil || address.Port() == 0 {
		return r, errors.NotValidf("address %.80q", r.Address)
	}
	return r, nil
}

// register writes the record of an instance unless the store holds the same record.
func (d *Directory) register(ctx context.Context, instance, address string) error {
	key := d.prefix + instance
	value, err := json.Marshal(record{address})
	if err != nil {
		return errors.Trace(err)
	}
	old, err := d.store.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		old.Version = 0
	case err != nil:
		return err
	case string(old.Value) == string(value):
		return nil
	}
	_, err = d.store.CompareAndSwap(ctx, key, value, old.Version, 0)
	return err
}

// retry calls f until it succeeds or ctx ends. The random delay prevents processes
// that lost the store at the same time from retrying at the same time.
func (d *Directory) retry(ctx context.Context, interval time.Duration, f func() error) {
	for ctx.Err() == nil {
		err := f()
		if err == nil || ctx.Err() != nil {
			return
		}
		event.LogTo(klog.Background(), event.DependencyLost, "dependency", "directory", "err", err)
		clock.Sleep(ctx, interval/2+rand.N(interval))
	}
}
