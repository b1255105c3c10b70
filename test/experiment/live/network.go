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

// network connects the processes with the delays between their zones.
type network struct {
	d load.Deployment

	mu sync.Mutex // guards the fields below
	// machine is the number of the machine behind an internal address.
	machine map[string]int
	gates   map[string]*delay.Gate
	// pairs are the gates between two internal addresses, in sorted order.
	pairs map[[2]string]*delay.Gate
}

func newNetwork(d load.Deployment) *network {
	return &network{d: d, machine: map[string]int{}, gates: map[string]*delay.Gate{}, pairs: map[[2]string]*delay.Gate{}}
}

// direct reports whether the processes and the callers are connected without
// anything between them. Forwarders and delayed connections cost several
// goroutine switches a message, which must not count as the latency that the
// dispatcher adds. Processes can't be paused then.
func (n *network) direct() bool { return n.d.ZoneDelay == 0 && n.d.ClientDelay == 0 }

// place notes that the process at an internal address is on a machine, and
// returns the gate of its traffic.
func (n *network) place(addr string, machine int) *delay.Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machine[addr] = machine
	if n.gates[addr] == nil {
		n.gates[addr] = delay.NewGate()
	}
	return n.gates[addr]
}

// pair returns the gate of the traffic between two processes.
func (n *network) pair(a, b string) *delay.Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pairLocked(a, b)
}

func (n *network) pairLocked(a, b string) *delay.Gate {
	key := [2]string{min(a, b), max(a, b)}
	if n.pairs[key] == nil {
		n.pairs[key] = delay.NewGate()
	}
	return n.pairs[key]
}

// dialer returns the dial function of the process at an internal address on a
// machine. Its connections pass its own gate, that of the process called, and
// that between the two.
func (n *network) dialer(machine int, self string, own *delay.Gate) rpcnet.DialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		d := net.Dialer{Timeout: dialTimeout}
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err != nil || n.direct() {
			return conn, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		gates := []*delay.Gate{own}
		oneWay := n.d.ZoneDelay
		if to, known := n.machine[addr]; known {
			oneWay = n.d.OneWayDelay(machine, to)
			gates = append(gates, n.gates[addr], n.pairLocked(self, addr))
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
	for _, g := range n.pairs {
		g.Open()
	}
}
