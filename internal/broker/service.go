package broker

import (
	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// rpcService is the RPC service that sidecars and peers call.
type rpcService struct{ broker *Broker }

// rejectMessage logs a message with impossible values and returns the error, with which
// the message is answered before it changes anything.
func rejectMessage(from ident.Process, err error) error {
	event.LogRateLimited(event.RPCFrameRejected, "peer", from.String(), "err", err)
	return err
}

// Beat handles the heartbeat of a sidecar.
func (s *rpcService) Beat(req *wire.RunnerHeartbeat, reply *wire.RunnerHeartbeatReply) error {
	b := s.broker
	if err := req.Validate(); err != nil {
		return rejectMessage(req.Info.Sidecar.Process, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.SinceBoot()
	if len(b.sidecars) >= maxSidecars && b.sidecars[req.Info.Sidecar.Process] == nil {
		return rejectMessage(req.Info.Sidecar.Process, errors.NotValidf("heartbeat of a sidecar beyond %d", maxSidecars))
	}
	c := b.clientOf(req.Info.Sidecar)
	c.lastMessage = now
	c.noteClock(now, &req.Load)
	b.recordCrashes(now, req.Crashes)
	if reason := b.machine.Heartbeat(now, req.Info, req.Session, req.Load, req.Confirmed(b.self.Process)); reason != "" {
		event.LogRateLimited(event.HeartbeatIgnored, "sidecar", req.Info.Sidecar.Process.String(), "worker", req.Info.Worker, "reason", reason,
			"session", req.Session, "fencingToken", req.Info.FencingToken)
	}
	b.runMachine(now)
	if b.usableWorkers.Load() == 0 {
		b.updateReadiness()
	}
	reply.Entry = b.self.Process
	reply.FencingToken = b.machine.FencingToken(req.Info.Sidecar.Process.Instance)
	reply.DropRuns = b.mustDrop(now, req.Info.Sidecar.Process, req.Session)
	reply.Members, reply.MembersHash = b.members.listUnless(req.MembersHash)
	reply.Evacuation = b.evacuation.NewerThan(req.EvacuationRevision)
	return nil
}

// Ends handles a report of a sidecar about ended runs.
func (s *rpcService) Ends(req *wire.EndBatch, reply *wire.EndReply) error {
	b := s.broker
	if req.Entry != b.self.Process {
		reply.WrongIncarnation = true
		return nil
	}
	if err := req.Validate(); err != nil {
		return rejectMessage(req.Sidecar, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.SinceBoot()
	if c := b.sidecars[req.Sidecar]; c != nil {
		c.lastMessage = now
		c.noteClock(now, &req.Load)
	}
	b.machine.SetLoad(now, req.Sidecar, req.Load)
	b.recordCrashes(now, req.Crashes)
	if !b.machine.RunsEnded(now, req) {
		event.LogRateLimited(event.ReportIgnored, "sidecar", req.Sidecar.String(), "session", req.Session, "ends", len(req.Ends))
	}
	reply.DropRuns = b.mustDrop(now, req.Sidecar, req.Session)
	b.runMachine(now)
	return nil
}

// Config handles a configuration exchange that a peer starts.
func (s *rpcService) Config(req *wire.ConfigExchangeRequest, reply *wire.ConfigExchangeReply) error {
	b := s.broker
	if err := req.Validate(); err != nil {
		return rejectMessage(req.From.Process, err)
	}
	reply.Version, reply.Config = b.configNewerThan(req.Version)
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := clock.SinceBoot(); len(req.Crashes) > 0 {
		b.recordCrashes(now, req.Crashes)
		b.runMachine(now)
	}
	reply.Crashes = b.crashesFor(req)
	b.addPeer(req.From)
	reply.Evacuation = b.evacuation.NewerThan(req.EvacuationRevision)
	if req.Version > reply.Version || b.evacuation.Lacks(req.EvacuationRevision) {
		b.pullFrom(req.From.Address, req.Version, req.EvacuationRevision)
	}
	reply.Members, reply.MembersHash = b.members.listUnless(req.MembersHash)
	return nil
}
