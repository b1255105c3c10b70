package ingress

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	tally "github.com/uber-go/tally/v4"

	"github.com/cardamomturn/cardamomturn/internal/queues"
)

// beginRequest opens a connection of a gate on which the first byte of a request has arrived.
func beginRequest(t *testing.T, g *Gate) *Conn {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close() })
	c := g.admit(server, "test", 0)
	go client.Write([]byte("P")) // an error shows in the read
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return c
}

func isOpen(g *Gate) bool {
	synctest.Wait()
	_, n := g.Held()
	return n == 1
}

// Guards against a client that is closed before its time has passed, since it began just before a
// sweep.
func TestTimeIsNotShortened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("test", testBounds, nil)
		defer g.Close()
		const allowed = sweepInterval / 2
		g.SetLimits(queues.Limits{HeaderTimeout: allowed})
		time.Sleep(sweepInterval - time.Millisecond)
		beginRequest(t, g)
		time.Sleep(allowed - time.Millisecond)
		if !isOpen(g) {
			t.Error("closed before its time has passed")
		}
		time.Sleep(10 * sweepInterval)
		if isOpen(g) {
			t.Error("open after its time has passed")
		}
	})
}

// Guards against clients that are closed for a pause of the process itself.
func TestPauseOfProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("test", testBounds, nil)
		g.Close() // no sweeps in the pause
		synctest.Wait()
		beginRequest(t, g)
		time.Sleep(2 * defaultHeaderTime)
		g.sweep()
		if !isOpen(g) {
			t.Error("closed for a pause of the process")
		}
	})
}

// Guards against a client that did not read its answer and is logged as one whose request has not
// run.
func TestReasonOfUnreadAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		g := New("test", testBounds, scope)
		defer g.Close()
		c := beginRequest(t, g)
		if !c.Start() {
			t.Fatal("not open")
		}
		c.Answer()
		time.Sleep(2 * writeTime)
		if isOpen(g) {
			t.Error("still open")
		}
		counters := scope.Snapshot().Counters()
		if len(counters) != 1 {
			t.Errorf("%d counters, want 1", len(counters))
		}
		for name, counter := range counters {
			if counter.Tags()["reason"] != string(unreadAnswer) {
				t.Errorf("counter %s, want the reason %s", name, unreadAnswer)
			}
		}
	})
}
