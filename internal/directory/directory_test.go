package directory

import (
	"context"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

// TestRegisterAndPoll guards against an instance that is listed under an earlier
// address, and against an unreadable record that hides the other records.
func TestRegisterAndPoll(t *testing.T) {
	s := memstore.New(clock.Real{}, time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := s.CompareAndSwap(ctx, "entries/broken", []byte("{"), 0, 0); err != nil {
		t.Fatal(err)
	}
	d := New(s, "entries/")
	for _, address := range []string{"10.0.0.1:1", "10.0.0.1:1", "10.0.0.2:1"} {
		if err := d.register(ctx, "e", address); err != nil {
			t.Fatal(err)
		}
	}
	found := make(chan string, 8)
	go d.Poll(ctx, func(a string) { found <- a })
	select {
	case a := <-found:
		if a != "10.0.0.2:1" {
			t.Errorf("got address %s", a)
		}
	case <-ctx.Done():
		t.Error("no address in the list")
	}
}
