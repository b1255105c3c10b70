package controller

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

// TestStoreRestoredToOlderRevision guards against the loss of accepted edits
// when the store is restored to an older state, also if an edit follows the
// restore.
func TestStoreRestoredToOlderRevision(t *testing.T) {
	for _, edited := range []bool{false, true} {
		t.Run(fmt.Sprint("edited=", edited), func(t *testing.T) {
			s := memstore.New(clock.Real{}, 0)
			a := startController(t, s, 1, 0)
			eventually(t, "ready", a.Ready)
			ctx := context.Background()
			old := olderSnapshot(t, edited)
			for i, name := range []string{"a", "b"} {
				if _, err := a.Commit(ctx, teamEdit(name, "c-"+name, 5+i)); err != nil {
					t.Fatal(err)
				}
			}
			s.Restore(old)
			eventually(t, "the newest revision is back in the store", func() bool {
				e, err := s.Get(ctx, ConfigKey)
				if err != nil {
					return false
				}
				d, err := resource.Decode(e.Value)
				return err == nil && d.Teams["a"] != nil && d.Teams["b"] != nil && (d.Teams["late"] != nil) == edited
			})
			eventually(t, "in force", func() bool { return teamRate(a, "b") == 6 && (teamRate(a, "late") == 9) == edited })
		})
	}
}

// olderSnapshot returns a state of the store at the first revision. If edited
// is true, the state also has an edit of an instance that lacked the later
// revisions.
func olderSnapshot(t *testing.T, edited bool) memstore.Snapshot {
	t.Helper()
	doc := revision.Initial()
	if edited {
		next, _, err := revision.Apply(doc, teamEdit("late", "c-late", 9))
		if err != nil {
			t.Fatal(err)
		}
		doc = next
	}
	data, err := resource.Encode(doc)
	if err != nil {
		t.Fatal(err)
	}
	s := memstore.New(clock.Real{}, 0)
	if _, err := s.CompareAndSwap(context.Background(), ConfigKey, data, 0, 0); err != nil {
		t.Fatal(err)
	}
	return s.Snapshot()
}

// TestOfferReachesStore guards against a newer document of a peer that never
// reaches a store that was restored before this process started, and against an
// additional pending watch for each offer.
func TestOfferReachesStore(t *testing.T) {
	s := memstore.New(clock.Real{}, time.Hour)
	data, err := resource.Encode(revision.Initial())
	if err != nil {
		t.Fatal(err)
	}
	// A controller that creates the document requests a reread itself, and its
	// delay may outlast the watch.
	if _, err := s.CompareAndSwap(context.Background(), ConfigKey, data, 0, 0); err != nil {
		t.Fatal(err)
	}
	clk := clock.NewManual(time.Unix(0, 0))
	c := startControllerWithClock(t, clk, s, 1, 0)
	eventually(t, "ready with a pending watch", func() bool { return c.Ready() && s.PendingWatches() == 1 })
	if n := clk.Waiters(); n != 0 {
		t.Fatalf("%d delays before the first offer", n)
	}
	doc := c.Document()
	for i := range 5 {
		next, _, err := revision.Apply(doc, teamEdit("a", fmt.Sprint("c", i), 5+i))
		if err != nil {
			t.Fatal(err)
		}
		doc = next
		data, err := resource.Encode(doc)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Offer(data); err != nil {
			t.Fatal(err)
		}
	}
	watches := s.CallCounts()[memstore.CallWatch]
	eventually(t, "the delay runs", func() bool { return clk.Waiters() > 0 })
	if n := s.CallCounts()[memstore.CallWatch]; n != watches {
		t.Fatalf("%d watches, want %d", n, watches)
	}
	clk.Advance(rereadDelay)
	eventually(t, "the offered revision is in the store", func() bool {
		e, err := s.Get(context.Background(), ConfigKey)
		return err == nil && resource.PeekRevision(e.Value) == 6
	})
}

// delayedListStore holds back the reply of the next List after pauseNext until resume
// is closed.
type delayedListStore struct {
	*memstore.Store
	pauseNext atomic.Bool
	// read is closed when the delayed List has read the store.
	read, resume chan struct{}
}

func (d *delayedListStore) List(ctx context.Context, prefix string) ([]store.KeyValue, uint64, error) {
	kvs, version, err := d.Store.List(ctx, prefix)
	if d.pauseNext.CompareAndSwap(true, false) {
		close(d.read)
		<-d.resume
	}
	return kvs, version, err
}

// TestStaleReadAndRestore guards against the loss of an edit that is only in a
// restored store. A read of the store is delayed. It shows a revision older than the
// one in force only because this process has committed edits in the meantime, which
// is no evidence of a restore. The restored key has the version of that read again, so
// that a write on the basis of the read would succeed and replace the edit.
func TestStaleReadAndRestore(t *testing.T) {
	s := &delayedListStore{Store: memstore.New(clock.Real{}, 0), read: make(chan struct{}), resume: make(chan struct{})}
	ctx := context.Background()
	data, err := resource.Encode(revision.Initial())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(ctx, ConfigKey, data, 0, 0); err != nil {
		t.Fatal(err)
	}
	s.pauseNext.Store(true)
	a := startController(t, s, 1, 0)
	<-s.read
	for i, name := range []string{"a", "b"} {
		if _, err := a.Commit(ctx, teamEdit(name, "c-"+name, 5+i)); err != nil {
			t.Fatal(err)
		}
	}
	s.Restore(olderSnapshot(t, true))
	close(s.resume)
	eventually(t, "all edits in the store", func() bool {
		e, err := s.Get(ctx, ConfigKey)
		if err != nil {
			return false
		}
		d, err := resource.Decode(e.Value)
		return err == nil && d.Teams["a"] != nil && d.Teams["b"] != nil && d.Teams["late"] != nil
	})
}

// blockingWatchStore holds back watches from version 1 until unblock is closed.
type blockingWatchStore struct {
	*memstore.Store
	unblock chan struct{}
}

func (g blockingWatchStore) Watch(ctx context.Context, prefix string, version uint64) ([]store.Event, uint64, error) {
	if version == 1 {
		<-g.unblock
	}
	return g.Store.Watch(ctx, prefix, version)
}

// TestStoreRestoredToWatchedVersion guards against a restore that goes
// unnoticed because the store was restored to exactly the version from which
// the next watch waits.
func TestStoreRestoredToWatchedVersion(t *testing.T) {
	s := blockingWatchStore{memstore.New(clock.Real{}, time.Hour), make(chan struct{})}
	clk := clock.NewManual(time.Unix(0, 0))
	c := startControllerWithClock(t, clk, s, 1, 0)
	eventually(t, "ready", func() bool { return c.Ready() && s.CallCounts()[memstore.CallList] == 2 })
	old := s.Snapshot()
	if _, err := c.Commit(context.Background(), teamEdit("a", "c1", 5)); err != nil {
		t.Fatal(err)
	}
	s.Restore(old)
	close(s.unblock)
	// The timer of the commit's timeout is still pending, so the number of timers
	// doesn't show when the delay has begun. The clock therefore advances until
	// the store has been read again.
	eventually(t, "the commit is back in the store", func() bool {
		clk.Advance(rereadDelay)
		e, err := s.Get(context.Background(), ConfigKey)
		return err == nil && resource.PeekRevision(e.Value) == 2
	})
}
