package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/membership"
	"github.com/cardamomturn/cardamomturn/internal/decision/recovery"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// selfLeaseMargin is added to the self-lease of a dead entry incarnation. After
	// that time the incarnation dispatches nothing, and the ledgers of its tasks can
	// be read.
	selfLeaseMargin = time.Second
	// recoveryPollInterval is the time between two reads of the ledgers while tasks
	// still run.
	recoveryPollInterval = 100 * time.Millisecond
	// recoveryTimeout is the maximum time to wait for running tasks.
	recoveryTimeout = 30 * time.Second
)

// recoverJob returns the answer for a submission whose owner is dead, from the
// ledgers of the sidecars.
func (e *Entry) recoverJob(ctx context.Context, id ident.SubmissionID, job *jobapi.JobRequest) jobapi.JobAnswer {
	e.awaitSelfLeaseEnd(ctx, id.Owner)
	submission := e.recoverySubmission(id, job)
	submission.PeersNotified = e.exchangeHeartbeats(ctx)
	deadline := time.Now().Add(recoveryTimeout)
	for {
		replies := e.readLedgers(ctx, id)
		answer, running := recovery.BuildAnswer(submission, replies)
		if !running || time.Now().After(deadline) || ctx.Err() != nil {
			ev := event.EntryRecoveryIncomplete
			if recovery.AllAccountedFor(submission, replies) {
				ev = event.EntryRecoveryDone
			}
			e.log(ev, "submission", id.String(), "state", string(answer.State))
			return answer
		}
		time.Sleep(recoveryPollInterval)
	}
}

// awaitSelfLeaseEnd waits until the self-lease of the dead owner has ended.
func (e *Entry) awaitSelfLeaseEnd(ctx context.Context, owner ident.Process) {
	v := e.core.view.Load()
	wait := e.cfg.SelfLease + selfLeaseMargin - (e.core.now() - v.entryMembers[owner].StateSince)
	select {
	case <-ctx.Done():
	case <-time.After(max(wait, 0)):
	}
}

func (e *Entry) recoverySubmission(id ident.SubmissionID, job *jobapi.JobRequest) recovery.Submission {
	v := e.core.view.Load()
	owner, known := v.entryMembers[id.Owner]
	// An owner that only a peer has reported, as dead, has no address and no
	// window. It does not count as known.
	known = known && owner.Peer.Address != ""
	submission := recovery.Submission{ID: id, OwnerKnown: known, OwnerFirstWindow: owner.FirstWindow, SidecarLost: len(v.goneSidecars) > 0}
	submission.Expired = recovery.Expired(e.core.now(), owner.LastSeen, e.cfg.Window, e.cfg.retention(), owner.LastWindow, id.Window)
	if job == nil {
		return submission
	}
	submission.Tasks = len(job.Tasks)
	if doc := e.configSource.Document(); doc != nil && doc.Kinds[job.Kind] != nil {
		submission.Idempotent = doc.Kinds[job.Kind].Spec.Idempotent
	}
	return submission
}

// exchangeHeartbeats exchanges a heartbeat with every other live entry instance, so
// that each of them learns that the owner is dead and fences it at its sidecars. It
// reports whether all have answered. If an entry instance is silent, it returns
// false without an exchange.
func (e *Entry) exchangeHeartbeats(ctx context.Context) bool {
	v := e.core.view.Load()
	if len(v.peers)+1 != len(v.entries) {
		return false
	}
	for _, m := range v.entryMembers {
		if m.State == membership.Silent {
			return false
		}
	}
	ok := make(chan bool, len(v.peers))
	for p, client := range v.peers {
		go func() { ok <- e.exchangeHeartbeat(ctx, p, client) }()
	}
	all := true
	for range v.peers {
		all = <-ok && all
	}
	return all
}

// exchangeHeartbeat exchanges a heartbeat with one peer and reports whether the
// peer has answered.
func (e *Entry) exchangeHeartbeat(ctx context.Context, p ident.Process, client *rpcnet.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var req wire.PeerHeartbeat
	e.core.call(func(now time.Duration) { req = e.core.newPeerHeartbeat(now, p) })
	// Request the complete lists. Otherwise the reply to a concurrent heartbeat
	// could replace the stored lists by older ones.
	req.HaveSidecarsHash, req.HaveEntriesHash = 0, 0
	var reply wire.PeerHeartbeat
	if client.Call(ctx, wire.ServiceEntry+".PeerBeat", &req, &reply) != nil {
		return false
	}
	return e.core.call(func(now time.Duration) { e.core.handlePeerHeartbeat(now, &reply) })
}

// readLedgers fences the owner at every known sidecar, including those of the
// peers, and reads their ledger entries of the submission.
func (e *Entry) readLedgers(ctx context.Context, id ident.SubmissionID) []recovery.SidecarLedger {
	targets := e.sidecarAddresses()
	replies := make([]recovery.SidecarLedger, 0, len(targets))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for p, addr := range targets {
		wg.Go(func() {
			l := e.readLedger(ctx, addr, id)
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, recovery.SidecarLedger{Sidecar: p, Ledger: l})
		})
	}
	wg.Wait()
	return replies
}

// sidecarAddresses returns the addresses of the attached sidecars and of the
// sidecars that peers list.
func (e *Entry) sidecarAddresses() map[ident.Process]string {
	all := map[ident.Process]string{}
	e.core.call(func(time.Duration) {
		for p, s := range e.core.attachedSidecars {
			all[p] = s.peer.Address
		}
		for _, ps := range e.core.peers {
			for _, r := range ps.sidecars {
				if _, gone := e.core.goneSidecars[r.Peer.Process]; !gone {
					all[r.Peer.Process] = r.Peer.Address
				}
			}
		}
	})
	return all
}

func (e *Entry) readLedger(ctx context.Context, addr string, id ident.SubmissionID) *wire.LedgerReply {
	client := rpcnet.NewClientWithDialer(addr, e.cfg.Dial)
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var fenced wire.FenceOwnerReply
	fence := wire.FenceOwnerRequest{Owners: []ident.Process{id.Owner}}
	if client.Call(ctx, wire.ServiceSidecar+".FenceOwner", &fence, &fenced) != nil {
		return nil
	}
	var reply wire.LedgerReply
	if client.Call(ctx, wire.ServiceSidecar+".Ledger", &wire.LedgerRequest{Submission: id.String()}, &reply) != nil {
		return nil
	}
	return &reply
}
