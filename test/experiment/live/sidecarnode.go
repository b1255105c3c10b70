package live

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/node"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
)

type sidecarNode struct {
	lifecycle
	c            *Cluster
	index        int
	cfg          sidecar.Config
	localAddress string
	sidecar      *sidecar.Sidecar
}

func newSidecarNode(c *Cluster, i int) (*sidecarNode, error) {
	n := &sidecarNode{c: c, index: i}
	var addrs [2]string
	for k := range addrs {
		var err error
		if addrs[k], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	n.localAddress = addrs[0]
	n.gate = c.net.register(addrs[1], i)
	d := c.opts.Deployment
	n.cfg = sidecar.Config{
		Instance: cluster.ProcessName(cluster.Sidecar, i), Zone: d.Zone(i), Rack: d.Rack(i),
		LocalAddress: addrs[0], InternalAddress: addrs[1], Attachments: len(c.entries),
		LedgerRetention: (retainedWindows + 1) * submissionWindow, Dial: c.net.dialer(i, addrs[1], n.gate),
	}
	for _, e := range c.entries {
		n.cfg.EntryAddresses = append(n.cfg.EntryAddresses, e.cfg.InternalAddress)
	}
	return n, nil
}

func (n *sidecarNode) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running {
		return errors.AlreadyExistsf("running %s", n.cfg.Instance)
	}
	s, err := node.NewSidecar(n.cfg, nil)
	if err != nil {
		return errors.Annotatef(err, "start %s", n.cfg.Instance)
	}
	n.sidecar = s
	n.run(s.Run)
	return nil
}

// current returns the running sidecar, or nil if none runs.
func (n *sidecarNode) current() *sidecar.Sidecar {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running {
		return nil
	}
	return n.sidecar
}

func (n *sidecarNode) kill() {
	n.resume()
	s := n.current()
	if s == nil {
		return
	}
	n.c.addStopped(sidecarCounters(s))
	s.Kill()
	n.mu.Lock()
	n.running = false
	done := n.done
	n.mu.Unlock()
	<-done
}

func (n *sidecarNode) pause() {
	if s := n.current(); s != nil {
		n.pauseWith(s.Pause)
	}
}

func (n *sidecarNode) process() (cluster.Process, bool) {
	s := n.current()
	if s == nil {
		return cluster.Process{}, false
	}
	return cluster.Process{
		Role: cluster.Sidecar, Index: n.index, Incarnation: s.Process().String(), Revision: s.Revisions().InForce,
	}, true
}

func (n *sidecarNode) counters() cluster.Counters {
	if s := n.current(); s != nil {
		return sidecarCounters(s)
	}
	return cluster.Counters{}
}

func sidecarCounters(s *sidecar.Sidecar) cluster.Counters {
	return cluster.Counters{ControlMessages: s.Stats().Heartbeats.Load()}
}

// String returns the name of the node for error messages.
func (n *sidecarNode) String() string { return fmt.Sprintf("sidecar %d", n.index) }
