package model

import (
	"fmt"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/decision/ownership"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// sidecarProcess is a sidecar: the state machines of packages ownership and occupancy
// with heartbeats, reports and the calls to its worker.
type sidecarProcess struct {
	process
	supervisor
	m      *occupancy.Machine
	owners []*modelOwner
	// started holds the owners of the runs that this process has taken, and chosenFor the lives
	// of the worker for which these have chosen them, as the start times of the lives.
	started   map[work.RunID]ident.Process
	chosenFor map[work.RunID]int64
	// descriptions holds the lives that this process has described in heartbeats.
	descriptions []int64
	attachments  [numEntries]attachment
}

type modelOwner struct {
	ownership.Owner
	entry       *entryProcess
	attachment  *attachment
	pendingEnds []wire.RunEnd
	ackedEnds   uint64
	sending     bool
	beating     bool // extraHeartbeat runs
}

// clockSkew is the difference between the clocks of sidecars and entry instances.
const clockSkew = 77 * time.Hour

func (s *sidecarProcess) clock() time.Duration { return s.world.now + clockSkew }

func (w *world) newSidecar(k *worker, incarnation uint64) *sidecarProcess {
	s := &sidecarProcess{process: process{world: w, id: ident.Process{Instance: fmt.Sprint("side-", k.index), Incarnation: incarnation}},
		supervisor: supervisor{worker: k, token: w.timeOfDay().Milliseconds()},
		m:          occupancy.New(occupancy.Config{}), started: map[work.RunID]ident.Process{}, chosenFor: map[work.RunID]int64{}}
	s.pollStatus()
	for i := range w.entries {
		s.after(w.random(0, 100*ms), func() { s.heartbeat(i) })
	}
	return s
}

func (s *sidecarProcess) ownerOf(id ident.Process) *modelOwner {
	for _, o := range s.owners {
		if o.entry.id == id {
			return o
		}
	}
	return nil
}

// info describes the sidecar and its worker in a heartbeat.
func (s *sidecarProcess) info() wire.WorkerInfo {
	info := wire.WorkerInfo{Sidecar: wire.Peer{Process: s.id}, FencingToken: s.token, Worker: s.report.id}
	if s.report.id != "" {
		info.Service = "svc"
	}
	return info
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
		o.pendingEnds, o.ackedEnds = nil, 0
		s.m.DropOwner(s.clock(), o.entry.id)
	}
}

// heartbeat sends a heartbeat to an entry instance and plans the next one.
func (s *sidecarProcess) heartbeat(entry int) {
	s.dropSilentOwners()
	defer s.step()
	e := s.world.entries[entry]
	o := s.ownerOf(e.id)
	if o != nil && !o.Live() && s.m.HasRunsOf(e.id) {
		s.after(250*ms, func() { s.heartbeat(entry) })
		return
	}
	session := s.attachments[entry].firstSession()
	if o != nil {
		session = o.Session()
	}
	a := &s.attachments[entry]
	detaching := a.unwanted && (o == nil || !o.busy(s))
	sentAt, info, load, confirmed := s.clock(), s.info(), s.load(o), o != nil
	token, drop := int64(0), false
	s.world.call(msgHeartbeat, &s.process, &e.process, func() { token, drop = e.handleHeartbeat(info, session, load, confirmed) }, func(r callResult) {
		s.dropSilentOwners()
		defer s.step()
		if r == answered {
			s.fenceOff(token)
		}
		if r == answered && drop && o != nil && o.Session() == session {
			s.drop(o)
		}
		delay := 250 * ms
		switch {
		case r == refused && o != nil:
			s.drop(o)
		case r == answered && o == nil:
			o = &modelOwner{Owner: ownership.New(session), entry: e, attachment: a}
			s.owners = append(s.owners, o)
			o.HeartbeatAnswered(s.clock(), sentAt, session)
		case r == answered:
			o.HeartbeatAnswered(s.clock(), sentAt, session)
			if !o.busy(s) {
				delay = time.Second
			}
		}
		if detaching && a.unwanted && (o == nil || !o.busy(s)) {
			s.remove(a, o)
			return
		}
		s.after(delay, func() { s.heartbeat(entry) })
	})
}

func (s *sidecarProcess) load(o *modelOwner) wire.Load {
	load := s.m.Load(s.clock())
	load.ClockMs = s.clock().Milliseconds()
	if o != nil {
		load.AppliedSequence = o.AppliedSequence()
		load.AcceptsRuns = load.AcceptsRuns && !o.attachment.unwanted
	}
	return load
}

func (s *sidecarProcess) handleBatch(from *entryProcess, b placement.Batch, builtAt time.Duration) (reply wire.RunReply) {
	s.dropSilentOwners()
	defer s.step()
	o := s.ownerOf(from.id)
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
		for i := range b.Runs {
			run := b.Runs[i].Run
			s.started[run] = from.id
			s.chosenFor[run] = s.descriptions[b.Description-1]
			if !s.world.guards.description {
				b.Runs[i].Description = 0 // is not compared
			}
		}
		s.m.Submit(s.clock(), from.id, b.Runs)
		if s.m.HasRunsOf(from.id) && !o.beating {
			o.beating = true
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
	o := s.ownerOf(id)
	if o == nil || !o.Live() || !o.busy(s) {
		if o != nil {
			o.beating = false
		}
		return
	}
	sentAt, session, info, load := s.clock(), o.Session(), s.info(), s.load(o)
	token, drop := int64(0), false
	s.world.call(msgHeartbeat, &s.process, &o.entry.process, func() { token, drop = o.entry.handleHeartbeat(info, session, load, true) }, func(r callResult) {
		s.dropSilentOwners()
		defer s.step()
		if r == answered {
			s.fenceOff(token)
		}
		if r == answered && drop && o.Session() == session {
			s.drop(o)
		}
		switch r {
		case refused:
			s.drop(o)
		case answered:
			o.HeartbeatAnswered(s.clock(), sentAt, session)
		}
		s.after(250*ms, func() { s.extraHeartbeat(id) })
	})
}

// step carries out the actions of the occupancy machine.
func (s *sidecarProcess) step() {
	s.updateAvailability()
	s.m.Tick(s.clock())
	for actions := s.m.Actions(); len(actions) > 0; actions = s.m.Actions() {
		for _, a := range actions {
			switch a := a.(type) {
			case occupancy.StartRun:
				s.startRun(a.Run)
			case occupancy.StopRun:
				s.stopRun(a.Run)
			case occupancy.ReportEnd:
				if a.End.Outcome == work.Superseded && !s.world.guards.superseded {
					a.End.Outcome = work.Lost
				}
				if o := s.ownerOf(a.Owner); o != nil {
					o.pendingEnds = append(o.pendingEnds, a.End)
				}
			}
		}
	}
	for _, o := range s.owners {
		s.sendEnds(o)
	}
	if s.m.NumActive() > 0 {
		s.wakePoll()
	}
}

func (s *sidecarProcess) sendEnds(o *modelOwner) {
	if o.sending || len(o.pendingEnds) == 0 || !o.Live() {
		return
	}
	o.sending = true
	ends, firstEnd, load, sentAt, session := slices.Clone(o.pendingEnds), o.ackedEnds+1, s.load(o), s.clock(), o.Session()
	s.world.call(msgEnds, &s.process, &o.entry.process, func() {
		if c := o.entry.clients[s.id]; c != nil {
			c.noteClock(s.world.now, load)
		}
		o.entry.m.SetLoad(s.world.now, s.id, load)
		o.entry.m.RunsEnded(s.world.now, &wire.EndBatch{Sidecar: s.id, Session: session, FirstEnd: firstEnd, Ends: ends})
		o.entry.step()
	}, func(r callResult) {
		o.sending = false
		if r == answered && o.Session() == session {
			o.ReportAnswered(sentAt, session)
			o.pendingEnds = o.pendingEnds[len(ends):]
			o.ackedEnds += uint64(len(ends))
		}
		s.dropSilentOwners()
		s.step()
	})
}
