//go:build foreignclients

package clients

import (
	"sync"
	"testing"
	"time"
)

// checkAll checks that all ports answer and all processes are within their bounds.
func checkAll(t *testing.T, s *system) {
	t.Helper()
	for name, p := range s.ports {
		waitFor(t, "ordinary request to port "+name, p.ask)
	}
	for _, name := range []string{"caller", "report"} { // one port of each process
		s.ports[name].process.check(t)
	}
}

// TestAllAtOnce guards against bounds of single ports whose sum is more than the process has.
func TestAllAtOnce(t *testing.T) {
	const size = 100
	s := startPlatform(t)
	stop := callBeside(s)
	var crowds sync.WaitGroup
	attack := func(variants []variant, ports ...string) {
		for _, name := range ports {
			for _, v := range variants {
				crowds.Go(func() { send(t, v, s.ports[name], size, func() {}) })
			}
		}
	}
	attack(httpVariants, "caller", "ready", "metrics", "report", "sidecar metrics")
	attack(frameVariants, "internal", "sidecar internal")
	crowds.Wait()
	stop()
	checkAll(t, s)
}

// TestWaves guards against memory that was given back to the budget and that the collector has not
// freed when clients come again and again.
func TestWaves(t *testing.T) {
	const clients, duration = 50, 5 * time.Second
	s := startPlatform(t)
	stop := callBeside(s)
	end := time.Now().Add(duration)
	var crowds sync.WaitGroup
	for _, name := range []string{"caller", "report"} {
		for range clients {
			crowds.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					send(t, httpVariants[i%len(httpVariants)], s.ports[name], 1, func() {})
				}
			})
		}
	}
	crowds.Wait()
	stop()
	checkAll(t, s)
}
