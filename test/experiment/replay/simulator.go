package replay

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

const (
	tickEvery = 5 * time.Millisecond
	beatEvery = 500 * time.Millisecond
	// deadAfter is the silence after which a lost sidecar is detached.
	deadAfter = 3 * time.Second
	// tail is the time after the last line in which jobs may still end.
	tail = 35 * time.Second
	// window is the submission window of all IDs; a replay is shorter than the
	// windows in which an ID is accepted.
	window = 1
)

// event is something that happens at a virtual time; seq keeps the order of
// events of the same time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// entry is an entry instance; machine is nil while it is down.
type entry struct {
	index   int
	peer    wire.Peer
	machine Dispatcher
}

// sidecar is a sidecar with its backend server.
type sidecar struct {
	index   int
	peer    wire.Peer
	machine Slots
	// backend is nil while the backend server is gone.
	backend *wire.Backend
	// boot counts the starts of the backend server, so that tasks of an
	// earlier one don't complete.
	boot int
}

// driver owns the virtual clock and all machines.
type driver struct {
	d        load.Deployment
	m        Machines
	seed     uint64
	now      time.Duration
	seq      uint64
	events   queue
	entries  []*entry
	sidecars []*sidecar
	doc      *resource.Document
	jobs     map[string]load.Arrival // by submission ID
	res      *Result
}

// at schedules an event.
func (v *driver) at(t time.Duration, do func()) {
	v.seq++
	heap.Push(&v.events, event{max(t, v.now), v.seq, do})
}

// send delivers a message between an entry instance and a sidecar after the
// delay of their zones.
func (v *driver) send(e *entry, s *sidecar, do func()) {
	v.at(v.now+v.d.ZoneToZone(e.index, s.index), do)
}

func (v *driver) entryOf(p ident.Process) *entry {
	for _, e := range v.entries {
		if e.peer.Process == p && e.machine != nil {
			return e
		}
	}
	return nil
}

func (v *driver) sidecarOf(p ident.Process) *sidecar {
	for _, s := range v.sidecars {
		if s.peer.Process == p && s.machine != nil {
			return s
		}
	}
	return nil
}

// startEntry starts an incarnation and attaches all sidecars to it.
func (v *driver) startEntry(e *entry) {
	e.peer = v.peer("entry", e.index, e.peer)
	e.machine = v.m.Dispatcher(e.peer.Process, v.seed+uint64(e.index))
	e.machine.SetDocument(v.now, v.doc)
	for _, s := range v.sidecars {
		if s.machine != nil {
			v.attach(e, s)
		}
	}
}

// startSidecar starts an incarnation and attaches it to all entry instances.
func (v *driver) startSidecar(s *sidecar) {
	s.peer = v.peer("sidecar", s.index, s.peer)
	s.machine = v.m.Slots(s.peer.Process, v.seed+uint64(1000+s.index))
	s.machine.SetBackend(v.now, s.backend)
	for _, e := range v.entries {
		if e.machine != nil {
			v.attach(e, s)
		}
	}
}

func (v *driver) peer(role string, i int, old wire.Peer) wire.Peer {
	return wire.Peer{
		Process: ident.Process{Instance: fmt.Sprintf("%s-%d", role, i), Incarnation: old.Process.Incarnation + 1},
		Address: fmt.Sprintf("%s-%d:1", role, i), Zone: v.d.Zone(i),
	}
}

func (v *driver) attach(e *entry, s *sidecar) {
	e.machine.Attach(v.now, s.peer, s.backend)
	s.machine.Attach(v.now, e.peer, window, len(v.entries))
	v.pump()
}

// pump carries out the actions of all machines until there are none.
func (v *driver) pump() {
	for again := true; again; {
		again = false
		for _, e := range v.entries {
			for e.machine != nil {
				list := e.machine.Actions()
				if len(list) == 0 {
					break
				}
				again = true
				for _, a := range list {
					v.dispatchAction(e, a)
				}
			}
		}
		for _, s := range v.sidecars {
			if s.machine == nil {
				continue
			}
			for _, a := range s.machine.Actions() {
				again = true
				v.slotsAction(s, a)
			}
		}
	}
}

func (v *driver) dispatchAction(e *entry, a DispatchAction) {
	if a.Answered != nil {
		v.answered(*a.Answered)
		return
	}
	self, machine := e.peer.Process, e.machine
	s := v.sidecarOf(a.Sidecar)
	if s == nil {
		if len(a.Starts) > 0 {
			machine.DispatchFailed(v.now, a.Sidecar, a.Starts, false)
		}
		if len(a.Fence) > 0 {
			machine.FenceReply(v.now, a.Sidecar, a.Fence, wire.FenceReply{WrongIncarnation: true})
		}
		return
	}
	demand := machine.Demand(v.now)
	v.send(e, s, func() {
		if s.machine == nil || s.peer.Process != a.Sidecar {
			v.lost(e, self, a)
			return
		}
		v.atSidecar(e, self, s, a, demand)
	})
}

// lost tells an entry instance that the sidecar was gone when a call arrived.
func (v *driver) lost(e *entry, self ident.Process, a DispatchAction) {
	if e.peer.Process != self || e.machine == nil {
		return
	}
	if len(a.Starts) > 0 {
		e.machine.DispatchFailed(v.now, a.Sidecar, a.Starts, true)
	}
	if len(a.Fence) > 0 {
		e.machine.FenceReply(v.now, a.Sidecar, a.Fence, wire.FenceReply{WrongIncarnation: true})
	}
	v.pump()
}

// atSidecar handles a call at a sidecar and sends the reply.
func (v *driver) atSidecar(e *entry, self ident.Process, s *sidecar, a DispatchAction, demand []wire.Demand) {
	var codes []wire.StartCode
	for _, start := range a.Starts {
		code := s.machine.Start(v.now, self, start)
		codes = append(codes, code)
		if code == wire.Accepted {
			v.run(s, start)
		}
	}
	if len(a.Return) > 0 {
		s.machine.ReturnCredits(v.now, self, a.Return)
	}
	outcomes := s.machine.FenceStarts(v.now, self, a.Fence)
	s.machine.SetDemand(v.now, self, demand)
	grants := s.machine.TakeGrants(v.now, self)
	v.pump()
	v.send(e, s, func() {
		if e.machine == nil || e.peer.Process != self {
			return
		}
		if len(a.Starts) > 0 {
			e.machine.DispatchReply(v.now, a.Sidecar, a.Starts, codes)
		}
		if len(a.Fence) > 0 {
			e.machine.FenceReply(v.now, a.Sidecar, a.Fence, wire.FenceReply{Outcomes: outcomes})
		}
		e.machine.Grant(v.now, a.Sidecar, grants)
		v.pump()
	})
}
