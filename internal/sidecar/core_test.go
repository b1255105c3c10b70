package sidecar

import (
	"context"
	"testing"
	"time"
)

// TestPostAndWaitDuringStop guards against a data race: if the sidecar is stopped while
// the core goroutine runs an event, postAndWait must not return before the event, since
// the caller reads what the event writes.
func TestPostAndWaitDuringStop(t *testing.T) {
	s, err := New(Config{Instance: "s", EntryAddresses: []string{"127.0.0.1:1"}}, Deps{})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); s.Run(context.Background()) }()
	started, release, returned := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(returned)
		_ = s.postAndWait(func() { close(started); <-release })
	}()
	<-started
	s.Kill()
	select {
	case <-returned:
		t.Error("postAndWait returned before its event")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	<-returned
	<-done
}
