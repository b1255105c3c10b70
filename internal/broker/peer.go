package broker

import (
	"math/rand/v2"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// exchangeInterval is the longest delay between two configuration exchanges with
	// a peer that replies. The actual delay is random and at least half as long,
	// unless a new configuration ends it early.
	exchangeInterval = 600 * time.Millisecond
	// maxExchangeDelay bounds the delay between exchanges with a peer that does not
	// reply.
	maxExchangeDelay = 3 * time.Second
	// peerTimeout is the time without a reply after which a peer is removed. A
	// peer that AddPeer or another peer names later is added again.
	peerTimeout = time.Minute
)

// peer is another entry instance. Entry instances exchange configurations, so
// that an instance that can't reach the store still gets new versions.
type peer struct {
	address   string
	rpcClient *rpcnet.Client
	wake      chan struct{}
	// version is the configuration version in the last reply, zero before the first
	// reply or while the peer has no configuration.
	version uint64
	// lastReply is the time of the last reply, zero before the first one.
	lastReply time.Time
}

// AddPeer starts exchanging configurations with the entry instance at an address.
func (b *Broker) AddPeer(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addPeer(address)
}

// addPeer is AddPeer with mu held.
func (b *Broker) addPeer(address string) {
	if address == "" || address == b.self.Address || b.peers[address] != nil || b.ctx.Err() != nil {
		return
	}
	p := &peer{address: address, rpcClient: rpcnet.NewClient(address), wake: make(chan struct{}, 1)}
	b.peers[address] = p
	b.wg.Go(func() { b.exchangeLoop(p) })
}

// peerAddresses returns the addresses of this entry instance and of the peers that
// have replied recently; mu is held.
func (b *Broker) peerAddresses() []string {
	addresses := []string{b.self.Address}
	for address, p := range b.peers {
		if !p.lastReply.IsZero() && time.Since(p.lastReply) < peerTimeout {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// ConfigChanged starts an exchange with each peer at once because a new
// configuration is in force.
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

// configNewerThan returns the version in force, and the encoded configuration if
// that version is higher than the given one.
func (b *Broker) configNewerThan(version uint64) (uint64, []byte) {
	table := b.config.Table()
	switch {
	case table == nil:
		return 0, nil
	case table.Config.Version > version:
		return table.Config.Version, table.Config.Encoded
	}
	return table.Config.Version, nil
}

// exchangeLoop exchanges configurations with a peer until the peer is removed or
// the instance is closed.
func (b *Broker) exchangeLoop(p *peer) {
	delay := exchangeInterval
	lastSuccess := time.Now()
	for b.ctx.Err() == nil {
		if b.exchange(p) {
			delay, lastSuccess = exchangeInterval, time.Now()
		} else {
			delay = min(2*delay, maxExchangeDelay)
			if time.Since(lastSuccess) > peerTimeout {
				b.mu.Lock()
				delete(b.peers, p.address)
				b.mu.Unlock()
				p.rpcClient.Close()
				return
			}
		}
		timer := time.NewTimer(delay/2 + rand.N(delay/2))
		select {
		case <-b.ctx.Done():
		case <-timer.C:
		case <-p.wake:
		}
		timer.Stop()
	}
}

// exchange sends the version in force to a peer, with the configuration if the
// peer's version is known to be lower, and applies the peer's configuration if that
// is newer. It reports whether the peer replied.
func (b *Broker) exchange(p *peer) bool {
	b.mu.Lock()
	knownVersion := p.version
	b.mu.Unlock()
	req := wire.ConfigExchangeRequest{From: b.self.Address}
	req.Version, req.Config = b.configNewerThan(knownVersion)
	if knownVersion == 0 {
		req.Config = nil // the reply reports the peer's version
	}
	var reply wire.ConfigExchangeReply
	err := p.rpcClient.CallWithTimeout(b.ctx, callTimeout, wire.ServiceBroker+".Config", &req, &reply)
	if err == nil && len(reply.Config) > 0 {
		b.config.ApplyEncoded(reply.Config, p.address)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		if !p.lastReply.IsZero() && b.ctx.Err() == nil {
			event.LogRateLimited(event.RPCConnectionLost, "peer", p.address, "err", err)
		}
		return false
	}
	versionWasUnknown := knownVersion == 0
	p.version, p.lastReply = reply.Version, time.Now()
	for _, address := range reply.Peers {
		b.addPeer(address)
	}
	// If the request left out the configuration because the peer's version was
	// unknown, the next exchange starts at once.
	if versionWasUnknown && reply.Version < b.config.Version() {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
	return true
}
