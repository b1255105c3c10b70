//go:build foreignclients

package clients

import (
	"sync"
	"testing"
	"time"
)

// callBeside asks each port again and again until the returned function is called. The answers
// don't count: the requests make sure that ordinary callers are there.
func callBeside(s *system) (stop func()) {
	stopped := make(chan struct{})
	var callers sync.WaitGroup
	for _, p := range s.ports {
		callers.Go(func() {
			for {
				_ = p.ask()
				select {
				case <-stopped:
					return
				case <-time.After(sampleInterval):
				}
			}
		})
	}
	return func() {
		close(stopped)
		callers.Wait()
	}
}

// checkVariant sends each variant to a port of a new system, and checks its processes.
func checkVariant(t *testing.T, start func(*testing.T) *system, name string, v variant, size int) {
	t.Helper()
	s := start(t)
	p := s.ports[name]
	stop := callBeside(s)
	send(t, v, p, size, func() { waitFor(t, "ordinary request beside the crowd", p.ask) })
	stop()
	for other, q := range s.ports {
		waitFor(t, "ordinary request to port "+other, q.ask)
	}
	p.process.check(t)
}

// run runs the variants on some ports.
func run(t *testing.T, start func(*testing.T) *system, variants []variant, ports ...string) {
	for _, name := range ports {
		for _, v := range variants {
			t.Run(name+"/"+v.name, func(t *testing.T) { checkVariant(t, start, name, v, crowdSize) })
		}
		t.Run(name+"/"+idle.name, func(t *testing.T) { checkVariant(t, start, name, idle, maxDescriptors+crowdSize) })
	}
}

// TestHTTPPorts guards against processes that a crowd of foreign clients of an HTTP port ends,
// or takes the memory or the descriptors of.
func TestHTTPPorts(t *testing.T) {
	run(t, startPlatform, httpVariants, "caller", "ready", "metrics", "report", "sidecar metrics")
}

// TestInternalPorts guards against the same on the ports between own processes.
func TestInternalPorts(t *testing.T) {
	run(t, startPlatform, frameVariants, "internal", "sidecar internal")
}

// TestDaemonPorts guards against the same on the ports of cardamomturnd.
func TestDaemonPorts(t *testing.T) { run(t, startDaemon, httpVariants, "job api", "resource api") }

// TestDrain guards against a shutdown that waits for foreign clients without end.
func TestDrain(t *testing.T) {
	drain := func(start func(*testing.T) *system, name string, v variant) {
		t.Run(name+"/"+v.name, func(t *testing.T) {
			s := start(t)
			p := s.ports[name]
			send(t, v, p, crowdSize/2, func() { p.process.stop(t) })
		})
	}
	for _, v := range httpVariants[:7] {
		drain(startPlatform, "caller", v)
		drain(startPlatform, "report", v)
		drain(startDaemon, "job api", v)
	}
	drain(startPlatform, "internal", frameVariants[0])
	drain(startPlatform, "sidecar internal", frameVariants[1])
}
