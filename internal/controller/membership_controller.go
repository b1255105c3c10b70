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

// EntriesPrefix begins the leased keys under which entry instances register.
const EntriesPrefix = "entries/"

const (
	// registrationTTL is the life of a registration that is not renewed.
	registrationTTL = 15 * time.Second
	// registrationCall bounds one call of the store.
	registrationCall = 2 * time.Second
)

// Members is told of other entry instances; entry.Entry implements it.
type Members interface {
	// Self returns the process to register.
	Self() wire.Peer
	// AddPeer adds an entry instance that has registered.
	AddPeer(p wire.Peer)
}

// Membership registers this entry instance under a leased key and reads the
// registrations of the others. It only helps processes find each other; who
// is live is decided by heartbeats.
type Membership struct {
	store   store.Store
	members Members
	clock   clock.Clock
	rnd     *rand.Rand
	log     Logf
	lease   store.LeaseID
	// registered is the process under the key.
	registered wire.Peer
}

// NewMembership returns a controller; Run works.
func NewMembership(s store.Store, m Members, c clock.Clock, rnd *rand.Rand, log Logf) *Membership {
	return &Membership{store: s, members: m, clock: c, rnd: rnd, log: log}
}

// Run registers and renews until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	b := backoff{base: watchBackoffBase, limit: watchBackoffLimit}
	for ctx.Err() == nil {
		pause := registrationTTL / 3
		if err := m.step(ctx); err != nil {
			pause = b.failed(ctx, "registration", err, m.rnd, m.log)
		} else {
			b.reset()
		}
		if !sleep(ctx, m.clock, pause) {
			return
		}
	}
}

func (m *Membership) step(ctx context.Context) error {
	ctx, cancel := withTimeout(ctx, m.clock, registrationCall)
	defer cancel()
	if err := m.renew(ctx); err != nil {
		return err
	}
	if self := m.members.Self(); self != m.registered {
		if err := m.register(ctx, self); err != nil {
			return err
		}
		m.registered = self
	}
	entries, _, err := m.store.List(ctx, EntriesPrefix)
	if err != nil {
		return errors.Annotate(err, "list the registrations")
	}
	for _, e := range entries {
		var p wire.Peer
		if json.Unmarshal(e.Value, &p) == nil {
			m.members.AddPeer(p)
		}
	}
	return nil
}

// renew keeps the lease alive, or takes a new one if it has lapsed.
func (m *Membership) renew(ctx context.Context) error {
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
	m.lease, m.registered = lease, wire.Peer{}
	return nil
}

// register writes the key, replacing that of an earlier incarnation.
func (m *Membership) register(ctx context.Context, self wire.Peer) error {
	key := EntriesPrefix + self.Process.Instance
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Annotate(err, "encode the registration")
	}
	version := uint64(0)
	e, err := m.store.Get(ctx, key)
	switch {
	case err == nil:
		version = e.Version
	case !errors.Is(err, store.ErrNotFound):
		return errors.Annotate(err, "read the registration")
	}
	_, err = m.store.CompareAndSwap(ctx, key, value, version, m.lease)
	return errors.Annotate(err, "write the registration")
}
