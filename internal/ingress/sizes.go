package ingress

import (
	"math"
	"runtime/debug"

	"github.com/juju/errors"
	tally "github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	decision "github.com/cardamomturn/cardamomturn/internal/decision/ingress"
	"github.com/cardamomturn/cardamomturn/internal/event"
)

// Resources are what a process may use.
type Resources struct {
	// MemoryMB is its memory in MiB, and Descriptors the number of its descriptors. Zero selects a
	// default.
	MemoryMB, Descriptors int
}

const (
	// defaultMemoryMB and defaultDescriptors apply if the settings set no bound.
	defaultMemoryMB    = 256
	defaultDescriptors = 16 << 10

	// Parts of the memory, as divisors: for the bodies of requests and for connections on ports of
	// clients, and for the same on ports between own processes. The rest is for the work itself,
	// and for memory that the collector has not freed yet.
	bodyMemoryPart, connMemoryPart              = 8, 4
	internalFrameMemoryPart, internalMemoryPart = 16, 8
	// connBytes is the memory of one connection: the buffers of its reader and writer, its state
	// and the stacks of its goroutines.
	connBytes = 32 << 10

	// Parts of the descriptors, as divisors. The rest is for connections that the process opens.
	connDescriptorPart, internalDescriptorPart = 2, 4
	// minConnections is the least bound on connections.
	minConnections = 16
	// requestsWithRoom is the least number of the largest requests that have room at a time.
	requestsWithRoom = 2
	// reservePart is the part of the budget that is for small requests.
	reservePart = 4
)

// memoryLimitShare is the Go runtime's memory limit as a share of the memory that the
// process may use.
const memoryLimitShare = 0.7

// LimitMemory sets the Go runtime's memory limit if the settings bound the memory.
func (r Resources) LimitMemory() {
	if r.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(r.MemoryMB) * (1 << 20)))
	}
}

// withDefaults returns the resources with defaults, and at most the descriptors that the operating
// system grants.
func (r Resources) withDefaults() Resources {
	if r.MemoryMB <= 0 {
		r.MemoryMB = defaultMemoryMB
	}
	if r.Descriptors <= 0 {
		r.Descriptors = defaultDescriptors
	}
	if granted, err := grantedDescriptors(); err == nil {
		r.Descriptors = min(r.Descriptors, granted)
	}
	return r
}

// grantedDescriptors returns how many descriptors the operating system grants the process.
func grantedDescriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Annotate(err, "read the limit of descriptors")
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// logLowered logs that the operating system grants fewer descriptors than the settings name.
func (r Resources) logLowered() {
	granted, err := grantedDescriptors()
	switch {
	case err != nil:
		event.LogTo(klog.Background(), event.DescriptorsLowered, "set", r.Descriptors, "err", err)
	case granted < r.Descriptors:
		event.LogTo(klog.Background(), event.DescriptorsLowered, "set", r.Descriptors, "granted", granted)
	}
}

// ClientBounds returns the bounds of the ports that clients use, whose largest body has that many
// bytes.
func (r Resources) ClientBounds(largestBody int) decision.Bounds {
	r = r.withDefaults()
	memory := int64(r.MemoryMB) << 20
	b := decision.Bounds{StepBytes: stepBytes}
	b.Connections = max(min(int(memory/connMemoryPart/connBytes), r.Descriptors/connDescriptorPart), minConnections)
	return withBytes(b, memory/bodyMemoryPart, largestBody)
}

// InternalBounds returns the bounds of the port between own processes. They are apart from those
// of other ports, so that other clients take nothing from own processes.
func (r Resources) InternalBounds(largestFrame int) decision.Bounds {
	r = r.withDefaults()
	memory := int64(r.MemoryMB) << 20
	b := decision.Bounds{StepBytes: stepBytes, KeepServed: true}
	b.Connections = max(min(int(memory/internalMemoryPart/connBytes), r.Descriptors/internalDescriptorPart), minConnections)
	return withBytes(b, memory/internalFrameMemoryPart, largestFrame)
}

// withBytes sets the budget of bytes, which has room for the reserve and some of the largest
// requests.
func withBytes(b decision.Bounds, bytes int64, largest int) decision.Bounds {
	b.Bytes = max(bytes, requestsWithRoom*int64(largest)*reservePart/(reservePart-1))
	b.Reserve = b.Bytes / reservePart
	return b
}

// Gates bound what the clients of a process and other processes hold. The internal port has a gate
// of its own, so that clients take nothing from own processes.
type Gates struct{ Clients, Internal *Gate }

// payloadMemoryPart is the part of the memory, as a divisor, for the payloads of jobs that wait.
const payloadMemoryPart = 8

// PayloadBytes returns the bound of the payloads of jobs that wait for their answers.
func (r Resources) PayloadBytes() int64 {
	return int64(r.withDefaults().MemoryMB) << 20 / payloadMemoryPart
}

// OpenGates returns the gates of a process, whose largest body of a request and largest frame have
// that many bytes. The scope may be nil.
func (r Resources) OpenGates(largestBody, largestFrame int, scope tally.Scope) Gates {
	r.logLowered()
	return Gates{
		Clients:  New("clients", r.ClientBounds(largestBody), scope),
		Internal: New("internal", r.InternalBounds(largestFrame), scope),
	}
}

// Close closes both gates.
func (g Gates) Close() {
	g.Clients.Close()
	g.Internal.Close()
}
