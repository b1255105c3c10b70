// Package live runs a cluster of the real entry and sidecar runtimes in one
// process. They communicate over loopback TCP connections that add the delay
// between zones and that can be paused. The store is the in-memory store of the
// project, served over HTTP.
package live

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/controller"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
)

const (
	anyPort      = "127.0.0.1:0"
	maxWatchWait = 10 * time.Second
	// readyTimeout bounds the start of a cluster.
	readyTimeout = 20 * time.Second
	readyPoll    = 5 * time.Millisecond
	// leaveTimeout is the time from the leave announcement of a backend server
	// until the server is closed. Its running tasks can end within that time.
	leaveTimeout = 10 * time.Second
)

// Cluster implements cluster.Cluster.
type Cluster struct {
	opts     cluster.Options
	net      *network
	store    *memstore.Store
	server   *memstore.Server
	faults   *storeFaults
	entries  []*entryNode
	sidecars []*sidecarNode
	backends []*cluster.BackendServer

	mu              sync.Mutex // guards stoppedCounters
	stoppedCounters cluster.Counters
}

// New starts a cluster; it is a cluster.Factory.
func New(o cluster.Options) (cluster.Cluster, error) {
	c := &Cluster{opts: o, net: newNetwork(o.Deployment), store: memstore.New(clock.Real{}, maxWatchWait)}
	if err := c.start(); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	if err := c.startStore(); err != nil {
		return err
	}
	d := c.opts.Deployment
	for i := range d.Entries {
		n, err := newEntryNode(c, i)
		if err != nil {
			return err
		}
		c.entries = append(c.entries, n)
	}
	for _, n := range c.entries {
		if err := n.start(); err != nil {
			return err
		}
	}
	for i := range d.Workers {
		n, err := newSidecarNode(c, i)
		if err != nil {
			return err
		}
		c.sidecars = append(c.sidecars, n)
		if err := n.start(); err != nil {
			return err
		}
		b := cluster.NewBackendServer(d.Backend(i), n.localAddress, cluster.ProcessName(cluster.Sidecar, i), c.opts.Recorder)
		c.backends = append(c.backends, b)
		if err := b.Start(); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// startStore serves the store and writes the configuration document to it.
func (c *Cluster) startStore() error {
	lis, err := net.Listen("tcp", anyPort)
	if err != nil {
		return errors.Annotate(err, "listen for the store")
	}
	c.server = memstore.NewServer(c.store)
	go c.server.Serve(lis)
	c.faults = newStoreFaults(c.store, lis.Addr().String())
	if c.opts.Document == nil {
		return nil
	}
	data, err := resource.Encode(c.opts.Document)
	if err != nil {
		return errors.Annotate(err, "encode the document")
	}
	_, err = c.store.CompareAndSwap(context.Background(), controller.ConfigKey, data, 0, 0)
	return errors.Annotate(err, "write the document")
}

// awaitReady waits until every entry instance is connected to all sidecars and
// all other entry instances and holds credits.
func (c *Cluster) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for !c.ready() {
		if time.Now().After(deadline) {
			return errors.Timeoutf("start of the cluster")
		}
		time.Sleep(readyPoll)
	}
	return nil
}

func (c *Cluster) ready() bool {
	for _, n := range c.entries {
		if !n.ready(len(c.sidecars), len(c.entries)-1) {
			return false
		}
	}
	return true
}

// Start implements cluster.Cluster.
func (c *Cluster) Start(r cluster.Role, i int) error {
	switch r {
	case cluster.Entry:
		return c.entries[i].start()
	case cluster.Sidecar:
		return c.sidecars[i].start()
	}
	return c.backends[i].Start()
}

// Stop implements cluster.Cluster.
func (c *Cluster) Stop(r cluster.Role, i int) error {
	switch r {
	case cluster.Entry:
		return c.entries[i].stop()
	case cluster.Sidecar:
		return c.sidecars[i].stop()
	}
	return c.backends[i].Leave(leaveTimeout)
}

// Kill implements cluster.Cluster.
func (c *Cluster) Kill(r cluster.Role, i int) error {
	switch r {
	case cluster.Entry:
		c.entries[i].kill()
	case cluster.Sidecar:
		c.sidecars[i].kill()
	default:
		c.backends[i].Kill()
	}
	return nil
}

// Pause implements cluster.Cluster.
func (c *Cluster) Pause(r cluster.Role, i int) error {
	if c.net.direct() {
		return errors.NotSupportedf("pause in a cluster without delays")
	}
	switch r {
	case cluster.Entry:
		c.entries[i].pause()
	case cluster.Sidecar:
		c.sidecars[i].pause()
	default:
		return errors.NotSupportedf("pause of a backend server")
	}
	return nil
}

// Resume implements cluster.Cluster.
func (c *Cluster) Resume(r cluster.Role, i int) error {
	switch r {
	case cluster.Entry:
		c.entries[i].resume()
	case cluster.Sidecar:
		c.sidecars[i].resume()
	default:
		return errors.NotSupportedf("resume of a backend server")
	}
	return nil
}

// CallerAddress implements cluster.Cluster.
func (c *Cluster) CallerAddress(i int) string {
	n := c.entries[i]
	if c.net.direct() {
		return n.cfg.CallerAddress
	}
	return n.callerForwarder.Address()
}

// OperatorAddress implements cluster.Cluster.
func (c *Cluster) OperatorAddress(i int) string { return c.entries[i].operatorAddress }

// Backend implements cluster.Cluster.
func (c *Cluster) Backend(i int) *cluster.BackendServer { return c.backends[i] }

// SetStoreFault implements cluster.Cluster.
func (c *Cluster) SetStoreFault(f cluster.StoreFault) { c.faults.set(f) }

// Processes implements cluster.Cluster.
func (c *Cluster) Processes() []cluster.Process {
	var out []cluster.Process
	for _, n := range c.entries {
		if p, ok := n.process(); ok {
			out = append(out, p)
		}
	}
	for _, n := range c.sidecars {
		if p, ok := n.process(); ok {
			out = append(out, p)
		}
	}
	return out
}

// Counters implements cluster.Cluster.
func (c *Cluster) Counters() cluster.Counters {
	c.mu.Lock()
	sum := c.stoppedCounters
	c.mu.Unlock()
	for _, n := range c.entries {
		sum = sum.Plus(n.counters())
	}
	for _, n := range c.sidecars {
		sum = sum.Plus(n.counters())
	}
	return sum
}

// addStopped adds the counters of a process that stops to stoppedCounters.
func (c *Cluster) addStopped(n cluster.Counters) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stoppedCounters = c.stoppedCounters.Plus(n)
}

// Close implements cluster.Cluster.
func (c *Cluster) Close() error {
	for _, n := range c.entries {
		n.resume()
		n.kill()
		n.callerForwarder.Close()
	}
	for _, n := range c.sidecars {
		n.resume()
		n.kill()
	}
	for _, b := range c.backends {
		b.Kill()
	}
	c.net.close()
	if c.server != nil {
		return errors.Annotate(c.server.Close(), "close the store")
	}
	return nil
}
