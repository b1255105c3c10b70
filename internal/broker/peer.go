package broker

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/crashes"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// exchangeInterval is the longest delay between two rounds of configuration
	// exchanges. The actual delay is random and at least half as long, unless a new
	// configuration ends it early.
	exchangeInterval = 600 * time.Millisecond
	// exchangesPerRound is the number of peers with which an instance exchanges
	// versions in a round. The rounds take the peers in turn. An instance that can't
	// reach the store hears of a new version from about as many peers at once, and asks
	// as many in each round.
	exchangesPerRound = 4
	// maxExchangeDelay bounds the delay between exchanges with a peer that does not
	// reply.
	maxExchangeDelay = 3 * time.Second
	// maxPullDelay bounds the random delay before a configuration that a peer has
	// announced is read from it. Usually the store delivers it meanwhile.
	maxPullDelay = 100 * time.Millisecond
	// peerTimeout is the time without a reply after which a peer is removed. A
	// peer that AddPeer or another peer names later is added again.
	peerTimeout = time.Minute
)

// peer is another entry instance. Entry instances exchange configurations, so
// that an instance that can't reach the store still gets new versions. The fields are
// guarded by Broker.mu.
type peer struct {
	member    wire.Peer
	rpcClient *rpcnet.Client
	// exchanging is true while an exchange is in flight. After failures, the next one
	// starts at retryAt at the earliest, and each failure doubles retryDelay.
	exchanging bool
	retryAt    time.Time
	retryDelay time.Duration
	// lastReply is the time of the last reply, zero before the first one, and
	// failingSince the time of the first failed exchange after it, zero if none failed.
	lastReply, failingSince time.Time
	// untold are the crashes for the next exchange.
	untold []crashes.Record
	// cancellations are the canceled jobs of which the peer has not been told, and
	// sendingCancellations is true while they are sent.
	cancellations        []cancellation
	sendingCancellations bool
	// membersHash is the hash of the last list of members that the peer has sent.
	membersHash uint64
}

func newPeer(member wire.Peer) *peer {
	return &peer{member: member, rpcClient: rpcnet.NewClient(member.Address), retryDelay: exchangeInterval}
}

// AddPeer starts exchanging configurations with the entry instance at an address.
func (b *Broker) AddPeer(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addPeer(wire.Peer{Address: address})
}

// ConfigChanged announces a new configuration to some peers at once. They announce it to
// others when they have it.
func (b *Broker) ConfigChanged() { b.startRound() }

// startRound ends the delay before the next round of exchanges.
func (b *Broker) startRound() {
	select {
	case b.announce <- struct{}{}:
	default:
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

// startExchangeRounds starts the rounds of exchanges unless the instance has been closed. Close waits
// for the goroutines that have been started before it took mu.
func (b *Broker) startExchangeRounds() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() == nil {
		b.wg.Go(b.exchangeRounds)
	}
}

// exchangeRounds starts the rounds of exchanges until the instance is closed.
func (b *Broker) exchangeRounds() {
	for b.ctx.Err() == nil {
		b.mu.Lock()
		b.updateMembers()
		untold := b.nextUntold()
		for _, p := range b.nextPeers(time.Now()) {
			p.untold = untold
			b.startExchange(p)
		}
		b.mu.Unlock()
		timer := time.NewTimer(exchangeInterval/2 + rand.N(exchangeInterval/2))
		select {
		case <-b.ctx.Done():
		case <-timer.C:
		case <-b.announce:
		}
		timer.Stop()
	}
}

// nextPeers returns the peers of the next round: in turn, in an order that is random in
// each cycle, without those that have failed recently; mu is held.
func (b *Broker) nextPeers(now time.Time) []*peer {
	var next []*peer
	take := func() {
		for len(b.peerCycle) > 0 && len(next) < exchangesPerRound {
			p := b.peerCycle[0]
			b.peerCycle = b.peerCycle[1:]
			if b.peers[p.member.Address] == p && !slices.Contains(next, p) && !p.exchanging && !now.Before(p.retryAt) {
				next = append(next, p)
			}
		}
	}
	take()
	if len(next) == exchangesPerRound || len(next) == len(b.peers) {
		return next
	}
	// A new cycle begins, with those that have just had their turn at its end.
	taken := map[*peer]bool{}
	for _, p := range next {
		taken[p] = true
	}
	b.peerCycle = b.peerCycle[:0]
	for _, p := range b.peers {
		if !taken[p] {
			b.peerCycle = append(b.peerCycle, p)
		}
	}
	rand.Shuffle(len(b.peerCycle), func(i, j int) { b.peerCycle[i], b.peerCycle[j] = b.peerCycle[j], b.peerCycle[i] })
	b.peerCycle = append(b.peerCycle, next...)
	take()
	return next
}

// startExchange starts an exchange with a peer unless one is in flight; mu is held.
func (b *Broker) startExchange(p *peer) {
	if p.exchanging || b.ctx.Err() != nil {
		return
	}
	p.exchanging = true
	b.wg.Go(func() { b.exchange(p) })
}

// pullFrom reads the configuration and evacuation state of a peer that has announced a newer version
// or revision, unless the store delivers that first or another read is under way; mu is held.
func (b *Broker) pullFrom(address string, version, revision uint64) {
	p := b.peers[address]
	if p == nil || b.pulling || b.ctx.Err() != nil {
		return
	}
	b.pulling = true
	b.wg.Go(func() {
		clock.Sleep(b.ctx, rand.N(maxPullDelay))
		b.mu.Lock()
		defer b.mu.Unlock()
		b.pulling = false
		if b.config.Version() < version || b.evacuation.Lacks(revision) {
			b.startExchange(p)
		}
	})
}

// exchange sends the version in force to a peer, and applies the peer's configuration and
// evacuation state if these are newer.
func (b *Broker) exchange(p *peer) {
	b.mu.Lock()
	req := wire.ConfigExchangeRequest{From: b.self, Version: b.config.Version(), MembersHash: p.membersHash,
		Crashes: wire.NewCrashRecords(clock.SinceBoot(), crashes.Newest(p.untold)), CrashesHash: b.machine.CrashesHash(), CompareCrashes: clock.SinceBoot() < b.compareUntil,
		EvacuationRevision: b.evacuation.State().Revision}
	p.untold = nil
	b.mu.Unlock()
	var reply wire.ConfigExchangeReply
	err := p.rpcClient.CallWithTimeout(b.ctx, callTimeout, wire.ServiceBroker+".Config", &req, &reply)
	if err == nil {
		err = reply.ValidateCrashes()
	}
	if err == nil {
		b.ApplyEvacuation(reply.Evacuation, p.member.Address)
	}
	if err == nil && len(reply.Config) > 0 {
		b.config.ApplyEncoded(reply.Config, p.member.Address)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p.exchanging = false
	if err != nil {
		b.exchangeFailed(p, err)
		return
	}
	if now := clock.SinceBoot(); len(reply.Crashes) > 0 {
		b.recordCrashes(now, reply.Crashes)
		b.runMachine(now)
	}
	isNew := p.lastReply.IsZero()
	p.lastReply, p.failingSince, p.retryAt, p.retryDelay = time.Now(), time.Time{}, time.Time{}, exchangeInterval
	if len(reply.Members) > 0 {
		p.membersHash = reply.MembersHash
	}
	for _, member := range reply.Members {
		b.addPeer(member)
	}
	if isNew {
		b.updateMembers()
	}
	// A connection that is used once in many rounds costs more memory than opening it.
	if len(b.peers) > 2*exchangesPerRound {
		p.rpcClient.Reset()
	}
}

// exchangeFailed records a failed exchange, and removes a peer that has not replied for
// peerTimeout; mu is held.
func (b *Broker) exchangeFailed(p *peer, err error) {
	now := time.Now()
	if p.failingSince.IsZero() {
		p.failingSince = now
		if !p.lastReply.IsZero() && b.ctx.Err() == nil {
			event.LogRateLimited(event.RPCConnectionLost, "peer", p.member.Address, "err", err)
		}
	}
	p.retryAt = now.Add(p.retryDelay/2 + rand.N(p.retryDelay/2))
	p.retryDelay = min(2*p.retryDelay, maxExchangeDelay)
	if now.Sub(p.failingSince) > peerTimeout {
		delete(b.peers, p.member.Address)
		p.rpcClient.Close()
	}
}
