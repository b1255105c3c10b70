package sidecar

import (
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// service implements the net/rpc service wire.ServiceSidecar.
type service struct{ sidecar *Sidecar }

// Dispatch starts tasks, and replies with a code for each and with new grants.
func (v *service) Dispatch(req *wire.DispatchRequest, reply *wire.DispatchReply) error {
	return v.sidecar.postAndWait(func() { v.sidecar.dispatch(req, reply) })
}

// Fence voids the credits of starts and returns the ledger entries of their tasks.
func (v *service) Fence(req *wire.FenceRequest, reply *wire.FenceReply) error {
	return v.sidecar.postAndWait(func() {
		if req.Sidecar != v.sidecar.self.Process {
			reply.WrongIncarnation = true
			return
		}
		reply.Outcomes = v.sidecar.machine.FenceStarts(v.sidecar.deps.Clock(), req.Entry, req.Starts)
	})
}

// FenceOwner forbids all further starts for entry incarnations, and returns those that
// still have running tasks.
func (v *service) FenceOwner(req *wire.FenceOwnerRequest, reply *wire.FenceOwnerReply) error {
	return v.sidecar.postAndWait(func() {
		for _, owner := range req.Owners {
			v.sidecar.fenceOwner(v.sidecar.deps.Clock(), owner)
			if v.sidecar.machine.HasRunningTasks(owner) {
				reply.StillRunning = append(reply.StillRunning, owner)
			}
		}
		reply.Sidecar = v.sidecar.self.Process
	})
}

// Ledger returns the ledger entries of a submission.
func (v *service) Ledger(req *wire.LedgerRequest, reply *wire.LedgerReply) error {
	return v.sidecar.postAndWait(func() { *reply = v.sidecar.machine.Ledger(req.Submission) })
}

// PullConfig returns the configuration document if it is newer than HaveRevision.
func (v *service) PullConfig(req *wire.PullRequest, reply *wire.PullConfigReply) error {
	reply.Revision, reply.Document = v.sidecar.config.documentAfter(req.HaveRevision)
	return nil
}

// Drain starts or ends a drain, during which no new task is started. Unlike
// Sidecar.Drain, it does not stop the sidecar.
func (v *service) Drain(req *wire.DrainRequest, _ *wire.DrainReply) error {
	return v.sidecar.postAndWait(func() { v.sidecar.setDraining(req.Drain) })
}

func (s *Sidecar) setDraining(drain bool) {
	if s.draining != drain {
		s.deps.Log("draining", "drain: %v", drain)
	}
	s.draining = drain
	s.applyBackend(s.deps.Clock())
}
