package live

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/node"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/delay"
)

// window is the submission window of the experiments. It is short, so that
// the sidecars account for a dead owner's submissions soon after their attach.
const window = time.Second

// retainWindows keeps answers for a minute.
const retainWindows = 60

// runner is a process that runs until stopped or killed.
type runner struct {
	mu      sync.Mutex // guards the fields below
	running bool
	cancel  context.CancelFunc
	done    chan error
	resumed func()
	gate    *delay.Gate
}

// run starts serve; mu is held.
func (r *runner) run(serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel, r.done, r.running = cancel, make(chan error, 1), true
	done := r.done
	go func() { done <- serve(ctx) }()
}

// stop shuts down gracefully.
func (r *runner) stop() error {
	r.mu.Lock()
	if !r.running {
		r.mu.Unlock()
		return nil
	}
	cancel, done := r.cancel, r.done
	r.mu.Unlock()
	cancel()
	err := <-done
	r.mu.Lock()
	r.running = false
	r.mu.Unlock()
	return err
}

// pauseWith holds the traffic and the core loop.
func (r *runner) pauseWith(hold func() func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running && r.resumed == nil {
		r.gate.Close()
		r.resumed = hold()
	}
}

// resume ends a pause.
func (r *runner) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resumed != nil {
		r.resumed()
		r.resumed = nil
		r.gate.Open()
	}
}

type entryNode struct {
	runner
	c        *Cluster
	index    int
	cfg      entry.Config
	callers  *delay.Forwarder
	operator string
	node     *node.Entry
}

func newEntryNode(c *Cluster, i int) (*entryNode, error) {
	n := &entryNode{c: c, index: i}
	var addrs [3]string
	for k := range addrs {
		var err error
		if addrs[k], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	n.operator = addrs[1]
	n.gate = c.net.place(addrs[2], i)
	d := c.opts.Deployment
	n.cfg = entry.Config{
		Instance: cluster.ProcessName(cluster.Entry, i), Zone: d.Zone(i), Region: "region-1",
		CallerAddress: addrs[0], OperatorAddress: addrs[1], InternalAddress: addrs[2],
		Window: window, RetainWindows: retainWindows, Dial: c.net.dialer(i, addrs[2], n.gate),
	}
	for _, other := range c.entries {
		n.cfg.Peers = append(n.cfg.Peers, other.cfg.InternalAddress)
	}
	var err error
	n.callers, err = delay.NewForwarder(addrs[0], d.ClientDelay)
	return n, err
}

func (n *entryNode) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running {
		return errors.AlreadyExistsf("running %s", n.cfg.Instance)
	}
	st, err := n.c.faults.client()
	if err != nil {
		return err
	}
	e, err := node.NewEntry(n.cfg, st, metrics.New(metrics.Options{Role: "entry"}))
	if err != nil {
		return errors.Annotatef(err, "start %s", n.cfg.Instance)
	}
	n.node = e
	n.run(e.Run)
	return nil
}

func (n *entryNode) live() *node.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running {
		return nil
	}
	return n.node
}

func (n *entryNode) ready(sidecars, peers int) bool {
	e := n.live()
	if e == nil || !e.Config.Ready() {
		return false
	}
	s := e.Stats()
	return s.Sidecars == sidecars && s.Peers == peers && s.Credits > 0
}

func (n *entryNode) stop() error {
	if e := n.live(); e != nil {
		defer func() { n.c.keep(count(e)) }()
	}
	return n.runner.stop()
}

func (n *entryNode) kill() {
	n.resume()
	e := n.live()
	if e == nil {
		return
	}
	n.c.keep(count(e))
	e.Kill()
	n.mu.Lock()
	n.running = false
	done := n.done
	n.mu.Unlock()
	<-done
}

func (n *entryNode) pause() {
	if e := n.live(); e != nil {
		n.callers.Pause()
		n.pauseWith(e.Pause)
	}
}

func (n *entryNode) resume() {
	n.runner.resume()
	n.callers.Resume()
}

func (n *entryNode) process() (cluster.Process, bool) {
	e := n.live()
	if e == nil {
		return cluster.Process{}, false
	}
	return cluster.Process{
		Role: cluster.Entry, Index: n.index, Incarnation: e.Self().Process.String(),
		Revision: e.Config.Revisions().InForce,
	}, true
}

func (n *entryNode) counters() cluster.Counters {
	if e := n.live(); e != nil {
		return count(e)
	}
	return cluster.Counters{}
}

// count sums up what an entry instance counted. A stopped one counts nothing.
func count(e *node.Entry) cluster.Counters {
	s := e.Stats()
	var out cluster.Counters
	for _, c := range s.Classes {
		out.Starts += c.Starts
	}
	w := s.Waste
	out.Waste = w
	out.WastedMessages = w.RefusedStarts + w.EmptyRecalls + w.ReturnedCredits + w.DemandMessages + w.Fences + w.Duplicates
	return out
}
