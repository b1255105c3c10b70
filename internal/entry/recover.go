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
	// recoverMargin is added to the self-lease before ledgers are read.
	recoverMargin = time.Second
	// recoverPoll is the pause between readings while tasks still run.
	recoverPoll = 100 * time.Millisecond
	// recoverBound limits the wait for running tasks.
	recoverBound = 30 * time.Second
)

// recoverJob answers for a submission whose owner is dead.
func (e *Entry) recoverJob(ctx context.Context, id ident.SubmissionID, job *jobapi.JobRequest) jobapi.JobAnswer {
	e.awaitFence(ctx, id.Owner)
	q := e.question(id, job)
	q.PeersNotified = e.tellPeers(ctx)
	deadline := time.Now().Add(recoverBound)
	for {
		replies := e.readLedgers(ctx, id)
		answer, running := recovery.BuildAnswer(q, replies)
		if !running || time.Now().After(deadline) || ctx.Err() != nil {
			ev := event.EntryRecoveryIncomplete
			if recovery.AllAccountedFor(q, replies) {
				ev = event.EntryRecoveryDone
			}
			e.log(ev, "submission", id.String(), "state", string(answer.State))
			return answer
		}
		time.Sleep(recoverPoll)
	}
}

// awaitFence waits until the dead owner's self-lease must have ended.
func (e *Entry) awaitFence(ctx context.Context, owner ident.Process) {
	v := e.core.view.Load()
	wait := e.cfg.SelfLease + recoverMargin - (e.core.now() - v.known[owner].StateSince)
	select {
	case <-ctx.Done():
	case <-time.After(max(wait, 0)):
	}
}

func (e *Entry) question(id ident.SubmissionID, job *jobapi.JobRequest) recovery.Submission {
	v := e.core.view.Load()
	owner, known := v.known[id.Owner]
	// A member that was only heard of as dead has no window and is not known.
	known = known && owner.Peer.Address != ""
	q := recovery.Submission{ID: id, OwnerKnown: known, OwnerFirstWindow: owner.FirstWindow, SidecarLost: len(v.gone) > 0}
	q.Expired = recovery.Expired(e.core.now(), owner.LastSeen, e.cfg.Window, e.cfg.retention(), owner.LastWindow, id.Window)
	if job == nil {
		return q
	}
	q.Tasks = len(job.Tasks)
	if doc := e.config.Document(); doc != nil && doc.Kinds[job.Kind] != nil {
		q.Idempotent = doc.Kinds[job.Kind].Spec.Idempotent
	}
	return q
}

// tellPeers exchanges a heartbeat with every other entry instance that is not
// known to be dead, so that each has heard that the owner is dead and has told
// its sidecars. It reports whether all answered.
func (e *Entry) tellPeers(ctx context.Context) bool {
	v := e.core.view.Load()
	if len(v.peers)+1 != len(v.entries) {
		return false
	}
	for _, m := range v.known {
		if m.State == membership.Silent {
			return false
		}
	}
	ok := make(chan bool, len(v.peers))
	for p, client := range v.peers {
		go func() { ok <- e.tellPeer(ctx, p, client) }()
	}
	all := true
	for range v.peers {
		all = <-ok && all
	}
	return all
}

func (e *Entry) tellPeer(ctx context.Context, p ident.Process, client *rpcnet.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var req wire.PeerHeartbeat
	e.core.call(func(now time.Duration) { req = e.core.ownBeat(now, p) })
	// The answer must hold the whole lists: a heartbeat that is answered at the
	// same time could replace the held ones by older ones.
	req.HaveSidecarsHash, req.HaveEntriesHash = 0, 0
	var reply wire.PeerHeartbeat
	if client.Call(ctx, wire.ServiceEntry+".PeerBeat", &req, &reply) != nil {
		return false
	}
	return e.core.call(func(now time.Duration) { e.core.peerBeat(now, &reply) })
}

// readLedgers fences the owner at every known sidecar, those of the peers
// included, and reads their ledgers of the submission.
func (e *Entry) readLedgers(ctx context.Context, id ident.SubmissionID) []recovery.SidecarLedger {
	targets := e.allSidecars()
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

// allSidecars returns the addresses of the own sidecars and those of peers.
func (e *Entry) allSidecars() map[ident.Process]string {
	all := map[ident.Process]string{}
	e.core.call(func(time.Duration) {
		for p, s := range e.core.links {
			all[p] = s.peer.Address
		}
		for _, ps := range e.core.peers {
			for _, r := range ps.sidecars {
				if _, gone := e.core.gone[r.Peer.Process]; !gone {
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
