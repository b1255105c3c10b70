package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// pullTimeout bounds the reading of the configuration document from a peer.
const pullTimeout = 3 * time.Second

// pullIfBehind reads the document from a peer that has a newer one in force.
// One reading runs at a time.
func (e *Entry) pullIfBehind(peer *rpcnet.Client, theirs wire.Revisions) {
	own := e.config.Revisions()
	if theirs.InForce <= own.InForce || theirs.InForce == own.Rejected || !e.pulling.CompareAndSwap(false, true) {
		return
	}
	e.wg.Go(func() {
		defer e.pulling.Store(false)
		if err := e.pull(peer, own.InForce); err != nil {
			e.log(event.RPCConnectionLost, "err", err)
		}
	})
}

func (e *Entry) pull(peer *rpcnet.Client, have uint64) error {
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
	if err := e.config.Offer(reply.Document); err != nil {
		return errors.Annotatef(err, "document from %s", peer.Addr())
	}
	e.log(event.ConfigPulled, "peer", peer.Addr(), "revision", reply.Revision)
	return nil
}

// pullFromSidecar reads the document from a sidecar, which keeps a copy.
func (e *Entry) pullFromSidecar(l *link, theirs wire.Revisions) {
	own := e.config.Revisions()
	if theirs.InForce <= own.InForce || theirs.InForce == own.Rejected || !e.pulling.CompareAndSwap(false, true) {
		return
	}
	e.wg.Go(func() {
		defer e.pulling.Store(false)
		ctx, cancel := context.WithTimeout(l.ctx, pullTimeout)
		defer cancel()
		var reply wire.PullConfigReply
		err := l.client.Call(ctx, wire.ServiceSidecar+".PullConfig", &wire.PullRequest{HaveRevision: own.InForce}, &reply)
		if err == nil && len(reply.Document) > 0 {
			err = e.config.Offer(reply.Document)
		}
		if err != nil {
			e.log(event.RPCConnectionLost, "err", err)
		}
	})
}
