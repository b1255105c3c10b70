package broker

import (
	"math/rand/v2"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// peerInterval is the time between two exchanges of versions with a peer.
	peerInterval = 600 * time.Millisecond
	// maxPeerPause bounds the pause for a peer that does not answer.
	maxPeerPause = 3 * time.Second
	// forgetPeer is how long a peer may fail before it is forgotten; it is added
	// again when it is named again.
	forgetPeer = time.Minute
)

// peer is another entry instance, with which configuration versions are
// exchanged, so that an instance that the store turns away still gets them.
type peer struct {
	address string
	client  *rpcnet.Client
	wake    chan struct{}
	// version is the newest that the peer has told.
	version uint64
	// answered is when it answered last; zero before the first answer.
	answered time.Time
}

// AddPeer begins to exchange versions with an entry instance.
func (b *Broker) AddPeer(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addPeer(address)
}

func (b *Broker) addPeer(address string) {
	if address == "" || address == b.self.Address || b.peers[address] != nil || b.ctx.Err() != nil {
		return
	}
	p := &peer{address: address, client: rpcnet.NewClient(address), wake: make(chan struct{}, 1)}
	b.peers[address] = p
	b.wg.Go(func() { b.follow(p) })
}

// peerAddresses returns the entry instances that a sidecar should know; mu is
// held.
func (b *Broker) peerAddresses() []string {
	list := []string{b.self.Address}
	for a, p := range b.peers {
		if !p.answered.IsZero() && time.Since(p.answered) < forgetPeer {
			list = append(list, a)
		}
	}
	return list
}

// ConfigChanged tells the peers of a new version at once.
func (b *Broker) ConfigChanged() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// newerThan returns the version in force, with its text if it is newer than the
// given one.
func (b *Broker) newerThan(version uint64) (uint64, []byte) {
	t := b.config.Table()
	switch {
	case t == nil:
		return 0, nil
	case t.Config.Version > version:
		return t.Config.Version, t.Config.Encoded
	}
	return t.Config.Version, nil
}

// follow exchanges versions with a peer until the peer is forgotten.
func (b *Broker) follow(p *peer) {
	pause := peerInterval
	since := time.Now()
	for b.ctx.Err() == nil {
		if b.exchange(p) {
			pause, since = peerInterval, time.Now()
		} else {
			pause = min(2*pause, maxPeerPause)
			if time.Since(since) > forgetPeer {
				b.mu.Lock()
				delete(b.peers, p.address)
				b.mu.Unlock()
				p.client.Close()
				return
			}
		}
		timer := time.NewTimer(pause/2 + rand.N(pause/2))
		select {
		case <-b.ctx.Done():
		case <-timer.C:
		case <-p.wake:
		}
		timer.Stop()
	}
}

// exchange tells a peer the version in force, with the text if the peer's is
// older, and takes the peer's if that is newer.
func (b *Broker) exchange(p *peer) bool {
	b.mu.Lock()
	known := p.version
	b.mu.Unlock()
	req := wire.ConfigExchangeRequest{From: b.self.Address}
	req.Version, req.Config = b.newerThan(known)
	if known == 0 {
		req.Config = nil // the answer tells the peer's version
	}
	var reply wire.ConfigExchangeReply
	err := p.client.CallWithTimeout(b.ctx, callTimeout, wire.ServiceBroker+".Config", &req, &reply)
	if err == nil && len(reply.Config) > 0 {
		b.config.ApplyEncoded(reply.Config, p.address)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		if !p.answered.IsZero() && b.ctx.Err() == nil {
			event.LogRateLimited(event.RPCConnectionLost, "peer", p.address, "err", err)
		}
		return false
	}
	first := known == 0
	p.version, p.answered = reply.Version, time.Now()
	for _, a := range reply.Peers {
		b.addPeer(a)
	}
	if first && reply.Version < b.config.Version() {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
	return true
}
