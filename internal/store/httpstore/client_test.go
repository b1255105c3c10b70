package httpstore_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/store"
	"github.com/cardamomturn/cardamomturn/internal/store/httpstore"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

func startServer(t *testing.T) (*memstore.Store, *httpstore.Client) {
	t.Helper()
	s := memstore.New(clock.Real{}, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := memstore.NewServer(s)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	c := newClient(t, l.Addr().String())
	t.Cleanup(func() {
		c.Close()
		if err := srv.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, c
}

func newClient(t *testing.T, addr string) *httpstore.Client {
	t.Helper()
	c, err := httpstore.New(httpstore.Settings{Address: addr, TimeoutMs: 1000, WatchWaitMs: 200})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func wantError(t *testing.T, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Fatalf("error %v, want %v", err, target)
	}
}

// Guards against a JSON encoding that confuses an empty value with a deletion,
// and against versions or leases that are lost in transmission.
func TestRoundTrip(t *testing.T) {
	ctx := context.Background()
	_, c := startServer(t)
	_, err := c.Get(ctx, "a/1")
	wantError(t, err, store.ErrNotFound)
	id, err := c.Grant(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	v1, err := c.CompareAndSwap(ctx, "a/1", []byte{}, 0, id)
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.CompareAndSwap(ctx, "a/1", []byte("x"), 0, 0)
	wantError(t, err, store.ErrConflict)
	entries, v, err := c.List(ctx, "a/")
	if err != nil || len(entries) != 1 || v != v1 || entries[0].Lease != id {
		t.Fatalf("list: %v, version %d, %v", entries, v, err)
	}
	if err := c.KeepAlive(ctx, id); err != nil {
		t.Fatal(err)
	}
	if err := c.Revoke(ctx, id); err != nil {
		t.Fatal(err)
	}
	wantError(t, c.KeepAlive(ctx, id), store.ErrNotFound)
	events, v2, err := c.Watch(ctx, "a/", v1)
	if err != nil || len(events) != 1 || !events[0].Deleted {
		t.Fatalf("watch: %v, %v", events, err)
	}
	if events, v3, err := c.Watch(ctx, "a/", v2); err != nil || len(events) != 0 || v3 != v2 {
		t.Fatalf("watch without a change: %v, version %d, %v", events, v3, err)
	}
	_, err = c.CompareAndSwap(ctx, "big", make([]byte, store.MaxValueBytes+1), 0, 0)
	wantError(t, err, errors.NotValid)
	if _, err = c.CompareAndSwap(ctx, "big", make([]byte, store.MaxValueBytes), 0, 0); err != nil {
		t.Fatalf("value of the largest size: %v", err)
	}
}

// Guards against a client that reports a write without a response as a write
// without effect.
func TestOutcomes(t *testing.T) {
	ctx := context.Background()
	s, c := startServer(t)
	s.DropResponses(1)
	_, err := c.CompareAndSwap(ctx, "k", []byte("1"), 0, 0)
	wantError(t, err, store.ErrOutcomeUnknown)
	e, err := c.Get(ctx, "k")
	if err != nil || string(e.Value) != "1" {
		t.Fatalf("the write with a lost answer: %v, %v", e, err)
	}
	s.SetDelay(3 * time.Second)
	_, err = c.CompareAndSwap(ctx, "k", []byte("2"), e.Version, 0)
	wantError(t, err, store.ErrOutcomeUnknown)
	_, err = c.Get(ctx, "k")
	wantError(t, err, store.ErrUnavailable)
	s.SetDelay(0)
	s.SetDown(true)
	_, err = c.CompareAndSwap(ctx, "k", []byte("3"), e.Version, 0)
	wantError(t, err, store.ErrUnavailable)
	_, _, err = c.Watch(ctx, "k", 1000)
	wantError(t, err, store.ErrUnavailable)
}

// Guards against a client that reports a refused connection as an unknown
// outcome, or the status of an intermediary, without an error code, as a known
// outcome.
func TestTransportErrors(t *testing.T) {
	ctx := context.Background()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		buf := make([]byte, 4096)
		if _, err := conn.Read(buf); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbusy")
		}
	}()
	_, err = newClient(t, l.Addr().String()).CompareAndSwap(ctx, "k", []byte("1"), 0, 0)
	wantError(t, err, store.ErrOutcomeUnknown)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = newClient(t, l.Addr().String()).CompareAndSwap(ctx, "k", []byte("1"), 0, 0)
	wantError(t, err, store.ErrUnavailable)
}
