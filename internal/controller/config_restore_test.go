package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

// Guards against an accepted configuration that a restored store reverts, also
// when an edit follows the restore.
func TestStoreWentBack(t *testing.T) {
	for _, edited := range []bool{false, true} {
		t.Run(fmt.Sprint("edited=", edited), func(t *testing.T) {
			s := memstore.New(clock.Real{}, 0)
			a := start(t, s, 1, 0)
			eventually(t, "ready", a.Ready)
			ctx := context.Background()
			old := restored(t, edited)
			for i, name := range []string{"a", "b"} {
				if _, err := a.Commit(ctx, team(name, "c-"+name, 5+i)); err != nil {
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
			eventually(t, "in force", func() bool { return rate(a, "b") == 6 && (rate(a, "late") == 9) == edited })
		})
	}
}

// restored returns a state of the store at the first revision, or with an edit
// made on it by an instance that missed the later revisions.
func restored(t *testing.T, edited bool) memstore.Snapshot {
	t.Helper()
	doc := revision.Initial()
	if edited {
		next, _, err := revision.Apply(doc, team("late", "c-late", 9))
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

// Guards against a peer's newer document that never reaches a store restored
// before this process started, and against one more pending watch per offer.
func TestOfferReachesStore(t *testing.T) {
	s := memstore.New(clock.Real{}, time.Hour)
	data, err := resource.Encode(revision.Initial())
	if err != nil {
		t.Fatal(err)
	}
	// A controller that creates the document wakes its own watch, whose delay may
	// outlive that watch.
	if _, err := s.CompareAndSwap(context.Background(), ConfigKey, data, 0, 0); err != nil {
		t.Fatal(err)
	}
	clk := clock.NewManual(time.Unix(0, 0))
	c := startAt(t, clk, s, 1, 0)
	eventually(t, "ready with a pending watch", func() bool { return c.Ready() && s.PendingWatches() == 1 })
	if n := clk.Waiters(); n != 0 {
		t.Fatalf("%d delays before the first offer", n)
	}
	doc := c.Document()
	for i := range 5 {
		next, _, err := revision.Apply(doc, team("a", fmt.Sprint("c", i), 5+i))
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
	clk.Advance(wakeDelay)
	eventually(t, "the offered revision is in the store", func() bool {
		e, err := s.Get(context.Background(), ConfigKey)
		return err == nil && resource.PeekRevision(e.Value) == 6
	})
}

// gate holds back watches from version 1 until it is opened.
type gate struct {
	*memstore.Store
	open chan struct{}
}

func (g gate) Watch(ctx context.Context, prefix string, version uint64) ([]store.Event, uint64, error) {
	if version == 1 {
		<-g.open
	}
	return g.Store.Watch(ctx, prefix, version)
}

// Guards against a revert that goes unnoticed because the store went back to the
// very version that the next watch waits from.
func TestWentBackToWatchedVersion(t *testing.T) {
	s := gate{memstore.New(clock.Real{}, time.Hour), make(chan struct{})}
	clk := clock.NewManual(time.Unix(0, 0))
	c := startAt(t, clk, s, 1, 0)
	eventually(t, "ready", func() bool { return c.Ready() && s.CallCounts()[memstore.CallList] == 2 })
	old := s.Snapshot()
	if _, err := c.Commit(context.Background(), team("a", "c1", 5)); err != nil {
		t.Fatal(err)
	}
	s.Restore(old)
	close(s.open)
	// The end of the commit leaves the timer of its timeout behind, so the clock
	// advances until the read shows.
	eventually(t, "the commit is back in the store", func() bool {
		clk.Advance(wakeDelay)
		e, err := s.Get(context.Background(), ConfigKey)
		return err == nil && resource.PeekRevision(e.Value) == 2
	})
}
