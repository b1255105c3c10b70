package sidecar

import (
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// service is the net/rpc service Sidecar.
type service struct{ s *Sidecar }

// Dispatch starts tasks.
func (v *service) Dispatch(req *wire.DispatchRequest, reply *wire.DispatchReply) error {
	return v.s.ask(func() { v.s.dispatch(req, reply) })
}

// Fence makes credits void and reports what became of their tasks.
func (v *service) Fence(req *wire.FenceRequest, reply *wire.FenceReply) error {
	return v.s.ask(func() {
		if req.Sidecar != v.s.self.Process {
			reply.WrongIncarnation = true
			return
		}
		reply.Outcomes = v.s.m.FenceStarts(v.s.deps.Clock(), req.Entry, req.Starts)
	})
}

// FenceOwner forbids all further starts for entry incarnations.
func (v *service) FenceOwner(req *wire.FenceOwnerRequest, reply *wire.FenceOwnerReply) error {
	return v.s.ask(func() {
		for _, owner := range req.Owners {
			v.s.fenceOwner(v.s.deps.Clock(), owner)
			if v.s.m.HasRunningTasks(owner) {
				reply.StillRunning = append(reply.StillRunning, owner)
			}
		}
		reply.Sidecar = v.s.self.Process
	})
}

// Ledger returns the ledger entries of a submission.
func (v *service) Ledger(req *wire.LedgerRequest, reply *wire.LedgerReply) error {
	return v.s.ask(func() { *reply = v.s.m.Ledger(req.Submission) })
}

// PullConfig returns the configuration document if it is newer.
func (v *service) PullConfig(req *wire.PullRequest, reply *wire.PullConfigReply) error {
	reply.Revision, reply.Document = v.s.config.newer(req.HaveRevision)
	return nil
}

// Drain stops new starts, or allows them again.
func (v *service) Drain(req *wire.DrainRequest, _ *wire.DrainReply) error {
	return v.s.ask(func() { v.s.setDraining(req.Drain) })
}

func (s *Sidecar) setDraining(on bool) {
	if s.draining != on {
		s.deps.Log("draining", "drain: %v", on)
	}
	s.draining = on
	s.applyBackend(s.deps.Clock())
}
