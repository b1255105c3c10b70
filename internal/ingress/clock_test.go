package ingress

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/queues"
)

// beginRequest opens a connection of a gate on which the first byte of a request has arrived.
func beginRequest(t *testing.T, g *Gate) {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close() })
	c := g.admit(server, "test", 0)
	go client.Write([]byte("P")) // an error shows in the read
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
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
