package ownership_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/decision/ownership"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// entryProcess is an entry instance: the state machine of package placement with the
// sending of batches.
type entryProcess struct {
	process
	m        *placement.Machine
	clients  map[ident.Process]*batchClient
	timerDue time.Duration
}

// batchClient sends the batches for one sidecar, one at a time.
type batchClient struct {
	queue          []builtBatch
	sending        bool
	mayHaveArrived bool
	clockOffset    time.Duration
	clockVersion   uint64
}

type builtBatch struct {
	placement.Batch
	builtAt time.Duration
}

func (w *world) newEntry(name string, incarnation uint64) *entryProcess {
	e := &entryProcess{process: process{world: w, id: ident.Process{Instance: name, Incarnation: incarnation}}, clients: map[ident.Process]*batchClient{}}
	cfg := placement.Config{}
	if !w.guards.pause {
		// Long timeouts hide a pause from the machine.
		cfg.HeartbeatTimeout, cfg.IdleTimeout, cfg.IsolationTimeout = time.Hour, time.Hour, time.Hour
	}
	e.m = placement.New(cfg, rand.New(rand.NewSource(w.rnd.Int63())))
	e.after(0, e.step)
	return e
}

func (e *entryProcess) step() {
	now := e.world.now
	next := e.m.Tick(now)
	for actions := e.m.Actions(); len(actions) > 0; actions = e.m.Actions() {
		for _, a := range actions {
			switch a := a.(type) {
			case placement.Batch:
				c := e.clients[a.Sidecar]
				c.queue = append(c.queue, builtBatch{a, now + c.clockOffset})
				e.sendBatch(a.Sidecar, c)
			case placement.JobAnswer:
				j := e.world.jobs[a.JobID]
				j.answered(e, j.accepted[e.id], a.Answer)
			}
		}
	}
	if next == 0 || next > now+150*ms {
		next = now + 150*ms
	}
	if e.timerDue <= now || next < e.timerDue {
		e.timerDue = next
		e.after(max(next-now, ms), e.step)
	}
}

func (e *entryProcess) sendBatch(id ident.Process, c *batchClient) {
	if c.sending {
		return
	}
	for len(c.queue) > 0 {
		batch := e.m.Prune(c.queue[0].Batch)
		if len(batch.Runs)+len(batch.Stops) == 0 {
			e.m.SetUnresponsive(id, false)
			e.m.ReleaseReservations(batch)
			c.queue, c.mayHaveArrived = c.queue[1:], false
			continue
		}
		c.sending = true
		builtAt := c.queue[0].builtAt
		s := e.world.sidecarOf(id)
		var reply wire.RunReply
		e.world.call(&e.process, &s.process, func() { reply = s.handleBatch(e, batch, builtAt) }, func(r callResult) {
			c.sending = false
			e.batchDone(id, c, batch, r, reply)
			e.sendBatch(id, c)
			e.step()
		})
		return
	}
}

// batchDone handles the result of an attempt to send the first batch of the queue.
func (e *entryProcess) batchDone(id ident.Process, c *batchClient, batch placement.Batch, result callResult, reply wire.RunReply) {
	now := e.world.now
	if result == answered && !(reply.Rejected && (c.mayHaveArrived || len(batch.Runs) == 0)) {
		e.m.SetUnresponsive(id, false)
		var rest placement.Batch
		switch {
		case reply.Rejected:
			e.m.BatchRejected(now, batch)
			rest = batch
			rest.Runs = nil
		case reply.Stale:
			c.noteClock(now, reply.Load)
			e.m.SetLoad(now, id, reply.Load)
			e.m.BatchNotStarted(now, batch)
		default:
			c.noteClock(now, reply.Load)
			e.m.SetLoad(now, id, reply.Load)
		}
		if len(rest.Stops) > 0 {
			c.queue[0].Batch = rest
			return
		}
		c.queue, c.mayHaveArrived = c.queue[1:], false
		return
	}
	c.mayHaveArrived = c.mayHaveArrived || result == lost
	if result != refused && e.m.InContact(now, id) {
		e.m.SetUnresponsive(id, true)
		return
	}
	if !c.mayHaveArrived {
		e.m.BatchRejected(now, batch)
	}
	if result == refused {
		e.m.SidecarEnded(now, id)
	}
	c.queue, c.mayHaveArrived = c.queue[1:], false
}

func (c *batchClient) noteClock(now time.Duration, load wire.Load) {
	if load.Version > c.clockVersion {
		c.clockVersion, c.clockOffset = load.Version, time.Duration(load.ClockMs)*ms-now
	}
}

func (e *entryProcess) handleHeartbeat(from *sidecarProcess, session uint64, load wire.Load) {
	c := e.clients[from.id]
	if c == nil {
		c = &batchClient{}
		e.clients[from.id] = c
	}
	c.noteClock(e.world.now, load)
	info := wire.WorkerInfo{Sidecar: wire.Peer{Process: from.id}, Worker: from.id.Instance, Service: "svc", FencingToken: from.token}
	e.m.Heartbeat(e.world.now, info, session, load)
	e.step()
}

// sidecarProcess is a sidecar: the state machines of packages ownership and occupancy
// with heartbeats, reports and the calls to its worker.
type sidecarProcess struct {
	process
	worker   *worker
	token    int64
	m        *occupancy.Machine
	owners   map[ident.Process]*modelOwner
	lastSeen int // number of the worker's ends that have been read
	// statusAt is the time of the last status. The leases have expired by leasesExpireAt.
	statusAt, leasesExpireAt time.Duration
	// started holds the owners of the runs that this process has taken.
	started map[work.RunID]ident.Process
}

type modelOwner struct {
	ownership.Owner
	entry       *entryProcess
	pendingEnds []wire.RunEnd
	sending     bool
}

// clockSkew is the difference between the clocks of sidecars and entry instances.
const clockSkew = 77 * time.Hour

func (s *sidecarProcess) clock() time.Duration { return s.world.now + clockSkew }

func (w *world) newSidecar(k *worker, incarnation uint64) *sidecarProcess {
	s := &sidecarProcess{process: process{world: w, id: ident.Process{Instance: fmt.Sprint("side-", k.index), Incarnation: incarnation}},
		worker: k, token: int64(incarnation), m: occupancy.New(occupancy.Config{}), owners: map[ident.Process]*modelOwner{}, started: map[work.RunID]ident.Process{}}
	if !w.guards.leftovers {
		s.lastSeen = len(k.ended)
	}
	s.m.SetWorker(s.clock(), occupancy.Worker{ID: s.id.Instance, Incarnation: 1, Capacity: work.Resources{MilliCPU: 4000, MemoryMB: 1000}})
	s.m.SetWorkerAvailable(s.clock(), true)
	s.poll()
	for i := range w.entries {
		s.after(w.random(0, 100*ms), func() { s.heartbeat(i) })
	}
	return s
}

func (o *modelOwner) busy(s *sidecarProcess) bool {
	return len(o.pendingEnds) > 0 || s.m.HasRunsOf(o.entry.id)
}

// dropSilentOwners precedes all other work of the process.
func (s *sidecarProcess) dropSilentOwners() {
	if !s.world.guards.ownerTimeout {
		return
	}
	for _, o := range s.owners {
		if o.OutOfContact(s.clock()) && o.busy(s) {
			s.drop(o)
		}
	}
}

func (s *sidecarProcess) drop(o *modelOwner) {
	if o.Live() {
		o.Drop()
		o.pendingEnds = nil
		s.m.DropOwner(s.clock(), o.entry.id)
	}
}

// heartbeat sends a heartbeat to an entry instance and plans the next one.
func (s *sidecarProcess) heartbeat(entry int) {
	s.dropSilentOwners()
	defer s.step()
	e := s.world.entries[entry]
	o := s.owners[e.id]
	if o != nil && !o.Live() && s.m.HasRunsOf(e.id) {
		s.after(250*ms, func() { s.heartbeat(entry) })
		return
	}
	session := uint64(0)
	if o != nil {
		session = o.Session()
	}
	sentAt, load := s.clock(), s.load(o)
	s.world.call(&s.process, &e.process, func() { e.handleHeartbeat(s, session, load) }, func(r callResult) {
		s.dropSilentOwners()
		defer s.step()
		delay := 250 * ms
		switch {
		case r == refused && o != nil:
			s.drop(o)
		case r == answered && o == nil:
			o = &modelOwner{Owner: ownership.New(0), entry: e}
			s.owners[e.id] = o
			o.HeartbeatAnswered(s.clock(), sentAt, session)
		case r == answered:
			o.HeartbeatAnswered(s.clock(), sentAt, session)
			if !o.busy(s) {
				delay = time.Second
			}
		}
		s.after(delay, func() { s.heartbeat(entry) })
	})
}

func (s *sidecarProcess) load(o *modelOwner) wire.Load {
	load := s.m.Load(s.clock())
	load.ClockMs = s.clock().Milliseconds()
	if o != nil {
		load.AppliedSequence = o.AppliedSequence()
	}
	return load
}

func (s *sidecarProcess) handleBatch(from *entryProcess, b placement.Batch, builtAt time.Duration) (reply wire.RunReply) {
	s.dropSilentOwners()
	defer s.step()
	o := s.owners[from.id]
	if o == nil {
		return wire.RunReply{Rejected: true}
	}
	if !s.world.guards.batchAge {
		builtAt = s.clock()
	}
	verdict := o.Admit(s.clock(), ownership.Batch{Session: b.Session, Sequence: b.Sequence, BuiltAt: builtAt, HasRuns: len(b.Runs) > 0})
	if verdict == ownership.Rejected {
		return wire.RunReply{Rejected: true}
	}
	if verdict == ownership.Apply {
		for _, r := range b.Runs {
			s.started[r.Run] = from.id
		}
		s.m.Submit(s.clock(), from.id, b.Runs)
		if s.m.HasRunsOf(from.id) {
			s.after(250*ms, func() { s.extraHeartbeat(from.id) })
		}
	}
	if verdict != ownership.Applied {
		for _, run := range b.Stops {
			if !s.m.Stop(s.clock(), from.id, run) {
				o.pendingEnds = append(o.pendingEnds, wire.RunEnd{Run: run, Outcome: work.NotRun})
			}
		}
	}
	return wire.RunReply{Stale: verdict == ownership.Stale, Load: s.load(o)}
}

// extraHeartbeat sends the heartbeats of an owner that has become busy until it has no
// runs any more.
func (s *sidecarProcess) extraHeartbeat(id ident.Process) {
	s.dropSilentOwners()
	defer s.step()
	o := s.owners[id]
	if o == nil || !o.Live() || !o.busy(s) {
		return
	}
	sentAt, session, load := s.clock(), o.Session(), s.load(o)
	s.world.call(&s.process, &o.entry.process, func() { o.entry.handleHeartbeat(s, session, load) }, func(r callResult) {
		s.dropSilentOwners()
		defer s.step()
		switch r {
		case refused:
			s.drop(o)
		case answered:
			o.HeartbeatAnswered(s.clock(), sentAt, session)
		}
		s.after(250*ms, func() { s.extraHeartbeat(id) })
	})
}

// leaseEnd returns the end of a lease that begins now.
func (s *sidecarProcess) leaseEnd() time.Duration {
	now := s.clock()
	end := now + lease
	for _, o := range s.owners {
		limit := o.LastContact() + ownership.LeaseAfterContact
		dropped := !o.Live() && (!s.world.guards.droppedLimit || now > limit+leaseExpiryMargin)
		if o.busy(s) && !dropped && s.world.guards.leaseLimit {
			end = min(end, limit)
		}
	}
	end = max(end, now)
	s.leasesExpireAt = max(s.leasesExpireAt, end+leaseExpiryMargin)
	return end - clockSkew
}

// step carries out the actions of the occupancy machine.
func (s *sidecarProcess) step() {
	s.m.Tick(s.clock())
	for actions := s.m.Actions(); len(actions) > 0; actions = s.m.Actions() {
		for _, a := range actions {
			switch a := a.(type) {
			case occupancy.StartRun:
				owner, leaseEnd, duration := s.started[a.Run], s.leaseEnd(), s.world.jobs[a.Run.Task.Job].duration
				result := occupancy.Accepted
				s.order(s.world.unanswered, func() {
					if !s.worker.start(s.token, a.Run, owner, leaseEnd, duration) {
						result = occupancy.Outdated
					}
				}, func(answered bool) {
					if !answered {
						result = occupancy.Unanswered
					}
					s.m.StartAnswered(s.clock(), a.Run, result, "")
				})
			case occupancy.StopRun:
				stopped := false
				s.order(max(s.world.unanswered, s.world.unansweredStops), func() { stopped = s.worker.stop(s.token, a.Run) }, func(answered bool) {
					if answered && stopped {
						s.m.StopConfirmed(s.clock(), a.Run)
					}
				})
			case occupancy.ReportEnd:
				if o := s.owners[a.Owner]; o != nil {
					o.pendingEnds = append(o.pendingEnds, a.End)
				}
			}
		}
	}
	for _, o := range s.owners {
		s.sendEnds(o)
	}
}

func (s *sidecarProcess) sendEnds(o *modelOwner) {
	if o.sending || len(o.pendingEnds) == 0 || !o.Live() {
		return
	}
	o.sending = true
	ends, load, sentAt, session := slices.Clone(o.pendingEnds), s.load(o), s.clock(), o.Session()
	s.world.call(&s.process, &o.entry.process, func() {
		if c := o.entry.clients[s.id]; c != nil {
			c.noteClock(s.world.now, load)
		}
		o.entry.m.SetLoad(s.world.now, s.id, load)
		o.entry.m.RunsEnded(s.world.now, s.id, session, ends)
		o.entry.step()
	}, func(r callResult) {
		o.sending = false
		if r == answered && o.Session() == session {
			o.ReportAnswered(sentAt, session)
			o.pendingEnds = o.pendingEnds[len(ends):]
		}
		s.dropSilentOwners()
		s.step()
	})
}
