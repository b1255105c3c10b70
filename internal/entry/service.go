package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/limit"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// errStopped is the error of calls that arrive after the core loop has ended.
const errStopped = errors.ConstError("entry instance is stopping")

// service is the net/rpc service for sidecars and other entry instances.
type service struct{ e *Entry }

func (s service) callCore(in input) error {
	if !s.e.core.call(in) {
		return errStopped
	}
	return nil
}

// Attach attaches a sidecar incarnation.
func (s service) Attach(req *wire.AttachRequest, reply *wire.AttachReply) error {
	if req.Sidecar.Process.IsZero() || req.Sidecar.Address == "" {
		return errors.NotValidf("attach without process or address")
	}
	return s.callCore(func(now time.Duration) { s.e.core.handleAttach(now, req, reply) })
}

// Beat handles the heartbeat of a sidecar.
func (s service) Beat(req *wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	err := s.callCore(func(now time.Duration) { s.e.core.handleHeartbeat(now, req, reply) })
	reply.Demand, reply.DemandSeq = s.e.core.currentDemand()
	return err
}

// Results receives the results of ended tasks. The reply acknowledges them at once,
// which is safe because the sidecar still keeps them in its ledger.
func (s service) Results(req *wire.ResultsRequest, reply *wire.ResultsReply) error {
	c := s.e.core
	err := s.callCore(func(now time.Duration) {
		m := c.machineOf(req.Entry)
		if m == nil {
			return
		}
		m.Results(now, req.Sidecar, req.Results)
		if m != c.machine {
			return
		}
		if sidecar := c.attachedSidecars[req.Sidecar]; sidecar != nil {
			c.sidecarTable.RecordContact(now, sidecar.peer, rackOf(sidecar.backend), 0)
			m.Grant(now, req.Sidecar, req.Grants)
		}
	})
	reply.Demand, reply.DemandSeq = c.currentDemand()
	return err
}

// Recall returns idle credits to a sidecar.
func (s service) Recall(req *wire.RecallRequest, reply *wire.RecallReply) error {
	c := s.e.core
	err := s.callCore(func(now time.Duration) {
		if req.Entry == *c.self.Load() {
			reply.Returned = c.machine.Recall(now, req.Sidecar, req.Count)
		}
	})
	reply.Demand, reply.DemandSeq = c.currentDemand()
	return err
}

// PeerBeat handles the heartbeat of another entry instance.
func (s service) PeerBeat(req, reply *wire.PeerHeartbeat) error {
	if req.Entry.Process.IsZero() {
		return errors.NotValidf("heartbeat without process")
	}
	return s.callCore(func(now time.Duration) {
		s.e.core.handlePeerHeartbeat(now, req)
		*reply = s.e.core.newPeerHeartbeat(now, req.Entry.Process)
	})
}

// Forward answers a caller's request that another instance has received.
func (s service) Forward(req *wire.ForwardRequest, reply *wire.ForwardReply) error {
	id, err := ident.ParseSubmissionID(req.Submission)
	if err != nil {
		return err
	}
	if !s.e.owns(id.Owner) {
		return errors.NotFoundf("incarnation %s", id.Owner)
	}
	var a jobapi.JobAnswer
	switch req.Op {
	case wire.ForwardSubmit:
		if req.Job == nil {
			return errors.NotValidf("forwarded submission without a job")
		}
		a = s.e.submitLocal(context.Background(), id, req.Job, req.Wait)
	case wire.ForwardCancel:
		a = s.e.cancelLocal(id)
	default:
		a = s.e.getLocal(context.Background(), id, req.Wait)
	}
	if s.e.ctx.Err() != nil {
		// Without an answer, the other instance recovers the outcome from the
		// sidecars.
		return errors.NotFoundf("incarnation %s, which has stopped", id.Owner)
	}
	reply.Answer, reply.Status = a, statusOf(a)
	return nil
}

// PullConfig returns the configuration document if it is newer.
func (s service) PullConfig(req *wire.PullRequest, reply *wire.PullConfigReply) error {
	*reply = s.e.configSource.Pull(*req)
	return nil
}

// Work returns the counters of jobs and tasks, the response times and the limit
// shares of this instance.
func (s service) Work(_ *wire.WorkRequest, reply *wire.WorkReply) error {
	*reply = s.e.localWork()
	return nil
}

// PullAllocation returns the limit allocation.
func (s service) PullAllocation(_ *wire.PullRequest, reply *wire.PullAllocationReply) error {
	var a *limit.Allocation
	if err := s.callCore(func(time.Duration) { a = s.e.core.allocation }); err != nil || a == nil {
		return err
	}
	var err error
	reply.Allocation, err = json.Marshal(a)
	return errors.Annotate(err, "encode the limit allocation")
}

// Drain starts or ends draining.
func (s service) Drain(req *wire.DrainRequest, _ *wire.DrainReply) error {
	s.e.SetDraining(req.Drain)
	return nil
}
