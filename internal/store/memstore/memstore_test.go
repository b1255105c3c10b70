package memstore

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/store"
)

// Guards against leases that do not expire or that expire in spite of a renewal,
// and against watches that miss the deletion of a leased key.
func TestLeaseExpiry(t *testing.T) {
	ctx := context.Background()
	c := clock.NewManual(time.Unix(0, 0))
	s := New(c, time.Hour)
	id, err := s.Grant(ctx, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	v, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0, id)
	if err != nil {
		t.Fatal(err)
	}
	c.Advance(9 * time.Second)
	if err := s.KeepAlive(ctx, id); err != nil {
		t.Fatal(err)
	}
	c.Advance(9 * time.Second)
	if _, err := s.Get(ctx, "k"); err != nil {
		t.Fatalf("renewed lease: %v", err)
	}
	got := make(chan []store.Event)
	go func() {
		events, _, _ := s.Watch(ctx, "k", v)
		got <- events
	}()
	for c.Waiters() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Advance(time.Second)
	if events := <-got; len(events) != 1 || !events[0].Deleted {
		t.Fatalf("events %v, want the deletion", events)
	}
	if err := s.KeepAlive(ctx, id); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("renewal of an expired lease: %v", err)
	}
}

// Guards against a restore that keeps newer data or that does not wake a pending
// watch, and against calls that are not counted.
func TestRestoreAndCallCounts(t *testing.T) {
	ctx := context.Background()
	s := New(clock.Real{}, time.Minute)
	v1, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	old := s.Snapshot()
	v2, err := s.CompareAndSwap(ctx, "k", []byte("2"), v1, 0)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan []store.Event)
	go func() {
		events, _, _ := s.Watch(ctx, "k", v2)
		got <- events
	}()
	for s.PendingWatches() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Restore(old)
	if events := <-got; len(events) != 1 || string(events[0].Value) != "1" {
		t.Fatalf("events after the restore: %v", events)
	}
	if n := s.CallCounts(); n[CallCompareAndSwap] != 2 || n[CallWatch] != 1 || s.PendingWatches() != 0 {
		t.Fatalf("calls %v, pending watches %d", n, s.PendingWatches())
	}
}
