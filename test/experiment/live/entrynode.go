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

// submissionWindow is the length of a submission window in the experiments. It is
// short, because a recovery can use the ledger of a sidecar as complete only for
// submissions of later windows than the one in which the sidecar first attached to
// the owner.
const submissionWindow = time.Second

// retainedWindows is the number of submission windows for which answers are
// kept, which is one minute.
const retainedWindows = 60

// lifecycle starts, pauses, resumes and stops the runtime of a node.
type lifecycle struct {
	mu         sync.Mutex // guards the fields below
	running    bool
	cancel     context.CancelFunc
	done       chan error
	resumeLoop func()
	gate       *delay.Gate
}

// run starts serve in a goroutine; the caller holds mu.
func (l *lifecycle) run(serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel, l.done, l.running = cancel, make(chan error, 1), true
	done := l.done
	go func() { done <- serve(ctx) }()
}

// stop shuts the runtime down gracefully and waits for its end.
func (l *lifecycle) stop() error {
	l.mu.Lock()
	if !l.running {
		l.mu.Unlock()
		return nil
	}
	cancel, done := l.cancel, l.done
	l.mu.Unlock()
	cancel()
	err := <-done
	l.mu.Lock()
	l.running = false
	l.mu.Unlock()
	return err
}

// pauseWith closes the gate of the node's traffic and calls pauseLoop, which pauses
// the core loop and returns the function that resumes it.
func (l *lifecycle) pauseWith(pauseLoop func() func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running && l.resumeLoop == nil {
		l.gate.Close()
		l.resumeLoop = pauseLoop()
	}
}

// resume resumes the core loop and opens the gate after pauseWith.
func (l *lifecycle) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumeLoop != nil {
		l.resumeLoop()
		l.resumeLoop = nil
		l.gate.Open()
	}
}

type entryNode struct {
	lifecycle
	c               *Cluster
	index           int
	cfg             entry.Config
	callerForwarder *delay.Forwarder
	operatorAddress string
	node            *node.Entry
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
	n.operatorAddress = addrs[1]
	n.gate = c.net.register(addrs[2], i)
	d := c.opts.Deployment
	n.cfg = entry.Config{
		Instance: cluster.ProcessName(cluster.Entry, i), Zone: d.Zone(i), Region: "region-1",
		CallerAddress: addrs[0], OperatorAddress: addrs[1], InternalAddress: addrs[2],
		Window: submissionWindow, RetainWindows: retainedWindows, Dial: c.net.dialer(i, addrs[2], n.gate),
	}
	for _, other := range c.entries {
		n.cfg.Peers = append(n.cfg.Peers, other.cfg.InternalAddress)
	}
	var err error
	n.callerForwarder, err = delay.NewForwarder(addrs[0], d.ClientDelay)
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

// current returns the running entry instance, or nil if none runs.
func (n *entryNode) current() *node.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running {
		return nil
	}
	return n.node
}

func (n *entryNode) ready(sidecars, peers int) bool {
	e := n.current()
	if e == nil || !e.Config.Ready() {
		return false
	}
	s := e.Stats()
	return s.Sidecars == sidecars && s.Peers == peers && s.Credits > 0
}

func (n *entryNode) stop() error {
	if e := n.current(); e != nil {
		defer func() { n.c.addStopped(entryCounters(e)) }()
	}
	return n.lifecycle.stop()
}

func (n *entryNode) kill() {
	n.resume()
	e := n.current()
	if e == nil {
		return
	}
	n.c.addStopped(entryCounters(e))
	e.Kill()
	n.mu.Lock()
	n.running = false
	done := n.done
	n.mu.Unlock()
	<-done
}

func (n *entryNode) pause() {
	if e := n.current(); e != nil {
		n.callerForwarder.Pause()
		n.pauseWith(e.Pause)
	}
}

func (n *entryNode) resume() {
	n.lifecycle.resume()
	n.callerForwarder.Resume()
}

func (n *entryNode) process() (cluster.Process, bool) {
	e := n.current()
	if e == nil {
		return cluster.Process{}, false
	}
	return cluster.Process{
		Role: cluster.Entry, Index: n.index, Incarnation: e.Self().Process.String(),
		Revision: e.Config.Revisions().InForce,
	}, true
}

func (n *entryNode) counters() cluster.Counters {
	if e := n.current(); e != nil {
		return entryCounters(e)
	}
	return cluster.Counters{}
}

// entryCounters returns the counters of an entry instance, summed over its
// classes and causes of waste.
func entryCounters(e *node.Entry) cluster.Counters {
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
