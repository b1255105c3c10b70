package controller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/store"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// EntriesPrefix is the prefix of the leased keys under which entry instances
// register.
const EntriesPrefix = "entries/"

const (
	// registrationTTL is the lifetime of a registration that is not renewed.
	registrationTTL = 15 * time.Second
	// registrationTimeout bounds the calls to the store that renew the
	// registration and read those of the other entry instances, taken together.
	registrationTimeout = 2 * time.Second
)

// PeerSet describes this process and receives the other entry instances;
// entry.Entry implements it.
type PeerSet interface {
	// Self returns the description of this process, which is to be registered.
	Self() wire.Peer
	// AddPeer adds a registered entry instance. It is also called with the
	// registration of this process.
	AddPeer(p wire.Peer)
}

// MembershipController registers this entry instance under a leased key and
// reads the registrations of the others. Processes only use the registrations
// to find each other; heartbeats decide which processes are live.
type MembershipController struct {
	store store.Store
	peers PeerSet
	clock clock.Clock
	rnd   *rand.Rand
	log   Logf
	lease store.LeaseID
	// registeredPeer is the registered description of this process. It is the
	// zero value if the current lease has no registration yet.
	registeredPeer wire.Peer
}

// NewMembershipController returns a controller. Run does its work.
func NewMembershipController(s store.Store, peers PeerSet, c clock.Clock, rnd *rand.Rand, log Logf) *MembershipController {
	return &MembershipController{store: s, peers: peers, clock: c, rnd: rnd, log: log}
}

// Run registers this entry instance and renews the registration until ctx ends.
func (m *MembershipController) Run(ctx context.Context) {
	b := backoff{baseDelay: retryBackoffBase, maxDelay: retryBackoffMax}
	for ctx.Err() == nil {
		pause := registrationTTL / 3
		if err := m.renewAndList(ctx); err != nil {
			pause = b.onFailure(ctx, "registration", err, m.rnd, m.log)
		} else {
			b.reset()
		}
		if !sleep(ctx, m.clock, pause) {
			return
		}
	}
}

// renewAndList renews the lease, registers this entry instance if necessary,
// and adds the registered entry instances to the peers.
func (m *MembershipController) renewAndList(ctx context.Context) error {
	ctx, cancel := withTimeout(ctx, m.clock, registrationTimeout)
	defer cancel()
	if err := m.renewLease(ctx); err != nil {
		return err
	}
	if self := m.peers.Self(); self != m.registeredPeer {
		if err := m.register(ctx, self); err != nil {
			return err
		}
		m.registeredPeer = self
	}
	kvs, _, err := m.store.List(ctx, EntriesPrefix)
	if err != nil {
		return errors.Annotate(err, "list the registrations")
	}
	for _, kv := range kvs {
		var p wire.Peer
		if json.Unmarshal(kv.Value, &p) == nil {
			m.peers.AddPeer(p)
		}
	}
	return nil
}

// renewLease renews the lease. If there is none or it has expired, it grants a
// new one.
func (m *MembershipController) renewLease(ctx context.Context) error {
	if m.lease != 0 {
		err := m.store.KeepAlive(ctx, m.lease)
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrNotFound) {
			return errors.Annotate(err, "renew the registration")
		}
	}
	lease, err := m.store.Grant(ctx, registrationTTL)
	if err != nil {
		return errors.Annotate(err, "grant a registration lease")
	}
	m.lease, m.registeredPeer = lease, wire.Peer{}
	return nil
}

// register writes the key and replaces the registration of an earlier
// incarnation.
func (m *MembershipController) register(ctx context.Context, self wire.Peer) error {
	key := EntriesPrefix + self.Process.Instance
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Annotate(err, "encode the registration")
	}
	version := uint64(0)
	kv, err := m.store.Get(ctx, key)
	switch {
	case err == nil:
		version = kv.Version
	case !errors.Is(err, store.ErrNotFound):
		return errors.Annotate(err, "read the registration")
	}
	_, err = m.store.CompareAndSwap(ctx, key, value, version, m.lease)
	return errors.Annotate(err, "write the registration")
}
