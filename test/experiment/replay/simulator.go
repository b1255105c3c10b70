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
	tickInterval      = 5 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	// detachDelay is the time after the end of a sidecar at which the entry
	// instances detach it.
	detachDelay = 3 * time.Second
	// drainTime is the time after the last trace line in which jobs may still end.
	drainTime = 35 * time.Second
	// submissionWindow is the submission window of all IDs. One window is enough,
	// because a replay is shorter than the time for which an ID is accepted.
	submissionWindow = 1
)

// event is a function to be called at a virtual time. Events of the same time are
// ordered by seq.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// eventQueue is a heap of events, the earliest one first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// entry is an entry instance. Its machine is nil while it is down.
type entry struct {
	index   int
	peer    wire.Peer
	machine DispatchMachine
}

// sidecar is a sidecar with its backend server. Its machine is nil while the sidecar
// is down.
type sidecar struct {
	index   int
	peer    wire.Peer
	machine SlotsMachine
	// backend is nil while the backend server is down.
	backend *wire.Backend
	// backendGeneration is incremented at each start and each end of the backend
	// server. A task whose run spans an increment doesn't complete.
	backendGeneration int
}

// simulator holds the virtual clock, the pending events and the state machines of
// all processes.
type simulator struct {
	deployment load.Deployment
	factories  MachineFactories
	seed       uint64
	now        time.Duration
	seq        uint64
	events     eventQueue
	entries    []*entry
	sidecars   []*sidecar
	document   *resource.Document
	jobs       map[string]load.Arrival // by submission ID
	result     *Result
}

// schedule adds an event at the time t, or now if t has passed.
func (sim *simulator) schedule(t time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{max(t, sim.now), sim.seq, do})
}

// afterZoneDelay calls do after the one-way delay between the zones of an entry
// instance and a sidecar, when a message sent now arrives.
func (sim *simulator) afterZoneDelay(e *entry, s *sidecar, do func()) {
	sim.schedule(sim.now+sim.deployment.OneWayDelay(e.index, s.index), do)
}

// liveEntry returns the running entry instance with the incarnation p, or nil.
func (sim *simulator) liveEntry(p ident.Process) *entry {
	for _, e := range sim.entries {
		if e.peer.Process == p && e.machine != nil {
			return e
		}
	}
	return nil
}

// liveSidecar returns the running sidecar with the incarnation p, or nil.
func (sim *simulator) liveSidecar(p ident.Process) *sidecar {
	for _, s := range sim.sidecars {
		if s.peer.Process == p && s.machine != nil {
			return s
		}
	}
	return nil
}

// startEntry starts a new incarnation of an entry instance and attaches all running
// sidecars to it.
func (sim *simulator) startEntry(e *entry) {
	e.peer = sim.nextIncarnation("entry", e.index, e.peer)
	e.machine = sim.factories.NewDispatch(e.peer.Process, sim.seed+uint64(e.index))
	e.machine.SetDocument(sim.now, sim.document)
	for _, s := range sim.sidecars {
		if s.machine != nil {
			sim.attach(e, s)
		}
	}
}

// startSidecar starts a new incarnation of a sidecar and attaches it to all running
// entry instances.
func (sim *simulator) startSidecar(s *sidecar) {
	s.peer = sim.nextIncarnation("sidecar", s.index, s.peer)
	s.machine = sim.factories.NewSlots(s.peer.Process, sim.seed+uint64(1000+s.index))
	s.machine.SetBackend(sim.now, s.backend)
	for _, e := range sim.entries {
		if e.machine != nil {
			sim.attach(e, s)
		}
	}
}

// nextIncarnation returns the identity of the incarnation after old.
func (sim *simulator) nextIncarnation(role string, i int, old wire.Peer) wire.Peer {
	return wire.Peer{
		Process: ident.Process{Instance: fmt.Sprintf("%s-%d", role, i), Incarnation: old.Process.Incarnation + 1},
		Address: fmt.Sprintf("%s-%d:1", role, i), Zone: sim.deployment.Zone(i),
	}
}

// attach attaches an entry instance and a sidecar to each other.
func (sim *simulator) attach(e *entry, s *sidecar) {
	e.machine.Attach(sim.now, s.peer, s.backend)
	s.machine.Attach(sim.now, e.peer, submissionWindow, len(sim.entries))
	sim.runActions()
}

// runActions carries out the actions of all machines until none has any left.
func (sim *simulator) runActions() {
	for changed := true; changed; {
		changed = false
		for _, e := range sim.entries {
			for e.machine != nil {
				list := e.machine.Actions()
				if len(list) == 0 {
					break
				}
				changed = true
				for _, a := range list {
					sim.runDispatchAction(e, a)
				}
			}
		}
		for _, s := range sim.sidecars {
			if s.machine == nil {
				continue
			}
			for _, a := range s.machine.Actions() {
				changed = true
				sim.runSlotsAction(s, a)
			}
		}
	}
}

// runDispatchAction carries out one action of an entry instance. Each call that the
// entry instance sends to a sidecar also carries the demand.
func (sim *simulator) runDispatchAction(e *entry, a DispatchAction) {
	if a.Answered != nil {
		sim.recordAnswer(*a.Answered)
		return
	}
	entryProcess, machine := e.peer.Process, e.machine
	s := sim.liveSidecar(a.Sidecar)
	if s == nil {
		if len(a.Dispatch) > 0 {
			machine.DispatchFailed(sim.now, a.Sidecar, a.Dispatch, false)
		}
		if len(a.Fence) > 0 {
			machine.FenceReply(sim.now, a.Sidecar, a.Fence, wire.FenceReply{WrongIncarnation: true})
		}
		return
	}
	demand := machine.Demand(sim.now)
	sim.afterZoneDelay(e, s, func() {
		if s.machine == nil || s.peer.Process != a.Sidecar {
			sim.failCall(e, entryProcess, a)
			return
		}
		sim.handleCall(e, entryProcess, s, a, demand)
	})
}

// failCall reports to an entry instance that the sidecar was down when a call
// arrived.
func (sim *simulator) failCall(e *entry, entryProcess ident.Process, a DispatchAction) {
	if e.peer.Process != entryProcess || e.machine == nil {
		return
	}
	if len(a.Dispatch) > 0 {
		e.machine.DispatchFailed(sim.now, a.Sidecar, a.Dispatch, true)
	}
	if len(a.Fence) > 0 {
		e.machine.FenceReply(sim.now, a.Sidecar, a.Fence, wire.FenceReply{WrongIncarnation: true})
	}
	sim.runActions()
}

// handleCall handles a call at a sidecar and sends the reply.
func (sim *simulator) handleCall(e *entry, entryProcess ident.Process, s *sidecar, a DispatchAction, demand []wire.Demand) {
	var codes []wire.StartCode
	for _, start := range a.Dispatch {
		code := s.machine.Start(sim.now, entryProcess, start)
		codes = append(codes, code)
		if code == wire.Accepted {
			sim.runTask(s, start)
		}
	}
	if len(a.ReturnCredits) > 0 {
		s.machine.ReturnCredits(sim.now, entryProcess, a.ReturnCredits)
	}
	outcomes := s.machine.FenceStarts(sim.now, entryProcess, a.Fence)
	s.machine.SetDemand(sim.now, entryProcess, demand)
	grants := s.machine.TakeGrants(sim.now, entryProcess)
	sim.runActions()
	sim.afterZoneDelay(e, s, func() {
		if e.machine == nil || e.peer.Process != entryProcess {
			return
		}
		if len(a.Dispatch) > 0 {
			e.machine.DispatchReply(sim.now, a.Sidecar, a.Dispatch, codes)
		}
		if len(a.Fence) > 0 {
			e.machine.FenceReply(sim.now, a.Sidecar, a.Fence, wire.FenceReply{Outcomes: outcomes})
		}
		e.machine.Grant(sim.now, a.Sidecar, grants)
		sim.runActions()
	})
}
