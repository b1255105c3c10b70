package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// pullTimeout is the timeout of a call that reads the configuration document or
// the limit allocation.
const pullTimeout = 3 * time.Second

// pullConfigFromPeer reads the document from a peer if the peer has a newer one
// in force. Only one read of the document runs at a time.
func (e *Entry) pullConfigFromPeer(peer *rpcnet.Client, peerRevisions wire.Revisions) {
	own := e.configSource.Revisions()
	if peerRevisions.InForce <= own.InForce || peerRevisions.InForce == own.Rejected || !e.pullingConfig.CompareAndSwap(false, true) {
		return
	}
	e.wg.Go(func() {
		defer e.pullingConfig.Store(false)
		if err := e.pullDocument(peer, own.InForce); err != nil {
			e.log(event.RPCConnectionLost, "err", err)
		}
	})
}

func (e *Entry) pullDocument(peer *rpcnet.Client, have uint64) error {
	ctx, cancel := context.WithTimeout(e.ctx, pullTimeout)
	defer cancel()
	method := wire.ServiceEntry + ".PullConfig"
	var reply wire.PullConfigReply
	if err := peer.Call(ctx, method, &wire.PullRequest{HaveRevision: have}, &reply); err != nil {
		return err
	}
	if len(reply.Document) == 0 {
		return nil
	}
	if err := e.configSource.Offer(reply.Document); err != nil {
		return errors.Annotatef(err, "document from %s", peer.Addr())
	}
	e.log(event.ConfigPulled, "peer", peer.Addr(), "revision", reply.Revision)
	return nil
}

// pullConfigFromSidecar reads the document from a sidecar, which keeps a copy, if
// the copy is newer. Only one read of the document runs at a time.
func (e *Entry) pullConfigFromSidecar(sc *sidecarClient, sidecarRevisions wire.Revisions) {
	own := e.configSource.Revisions()
	if sidecarRevisions.InForce <= own.InForce || sidecarRevisions.InForce == own.Rejected || !e.pullingConfig.CompareAndSwap(false, true) {
		return
	}
	e.wg.Go(func() {
		defer e.pullingConfig.Store(false)
		ctx, cancel := context.WithTimeout(sc.ctx, pullTimeout)
		defer cancel()
		var reply wire.PullConfigReply
		err := sc.client.Call(ctx, wire.ServiceSidecar+".PullConfig", &wire.PullRequest{HaveRevision: own.InForce}, &reply)
		if err == nil && len(reply.Document) > 0 {
			err = e.configSource.Offer(reply.Document)
		}
		if err != nil {
			e.log(event.RPCConnectionLost, "err", err)
		}
	})
}
