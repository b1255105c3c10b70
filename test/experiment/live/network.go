package live

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/test/experiment/delay"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

const dialTimeout = 2 * time.Second

// network holds the delays and the gates of the connections between processes.
type network struct {
	deployment load.Deployment

	mu sync.Mutex // guards the fields below
	// indexes maps an internal address to the index of its entry instance or
	// worker, which determines the zone.
	indexes map[string]int
	gates   map[string]*delay.Gate
	// pairGates maps two internal addresses, in sorted order, to the gate of the
	// traffic between them.
	pairGates map[[2]string]*delay.Gate
}

func newNetwork(d load.Deployment) *network {
	return &network{deployment: d, indexes: map[string]int{}, gates: map[string]*delay.Gate{}, pairGates: map[[2]string]*delay.Gate{}}
}

// direct reports whether the processes and the callers use plain TCP connections
// because no delay is configured. Forwarders and delayed connections cost several
// goroutine switches per message, which must not be measured as latency of the
// dispatcher. Processes can't be paused in a direct network.
func (n *network) direct() bool { return n.deployment.ZoneDelay == 0 && n.deployment.ClientDelay == 0 }

// register stores the index of the process at an internal address and returns the
// gate of the traffic of that process.
func (n *network) register(addr string, index int) *delay.Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.indexes[addr] = index
	if n.gates[addr] == nil {
		n.gates[addr] = delay.NewGate()
	}
	return n.gates[addr]
}

// pairGate returns the gate of the traffic between two internal addresses.
func (n *network) pairGate(a, b string) *delay.Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pairGateLocked(a, b)
}

func (n *network) pairGateLocked(a, b string) *delay.Gate {
	key := [2]string{min(a, b), max(a, b)}
	if n.pairGates[key] == nil {
		n.pairGates[key] = delay.NewGate()
	}
	return n.pairGates[key]
}

// dialer returns the dial function of the process with an index and an internal
// address. Its connections pass three gates: the gate of the process itself, the
// gate of the called process, and the gate of the pair.
func (n *network) dialer(index int, self string, own *delay.Gate) rpcnet.DialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		d := net.Dialer{Timeout: dialTimeout}
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err != nil || n.direct() {
			return conn, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		gates := []*delay.Gate{own}
		oneWay := n.deployment.ZoneDelay
		if to, known := n.indexes[addr]; known {
			oneWay = n.deployment.OneWayDelay(index, to)
			gates = append(gates, n.gates[addr], n.pairGateLocked(self, addr))
		}
		return delay.Wrap(conn, oneWay, gates...), nil
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.gates {
		g.Open()
	}
	for _, g := range n.pairGates {
		g.Open()
	}
}
