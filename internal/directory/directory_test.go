package directory

import (
	"context"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

// Guards against an instance that moved to another address and is listed under
// the old one, and against unreadable entries that hide the others.
func TestRegisterAndFollow(t *testing.T) {
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
	go d.Follow(ctx, func(a string) { found <- a })
	select {
	case a := <-found:
		if a != "10.0.0.2:1" {
			t.Errorf("found %s", a)
		}
	case <-ctx.Done():
		t.Error("found nothing")
	}
}
