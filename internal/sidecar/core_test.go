package sidecar

import (
	"context"
	"testing"
	"time"
)

// TestAskWhileStopping guards against an answer that is read while the core
// goroutine still runs the event that writes it, because the sidecar was told
// to stop meanwhile.
func TestAskWhileStopping(t *testing.T) {
	s, err := New(Config{Instance: "s", EntryAddresses: []string{"127.0.0.1:1"}}, Deps{})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); s.Run(context.Background()) }()
	started, release, asked := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(asked)
		_ = s.ask(func() { close(started); <-release })
	}()
	<-started
	s.Kill()
	select {
	case <-asked:
		t.Error("the question ended before its event")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	<-asked
	<-ended
}
