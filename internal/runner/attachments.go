package runner

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/attachment"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// maxAttachments is the number of entry instances to which a sidecar attaches. It
	// bounds the heartbeats of a sidecar. With ten times as many workers as entry
	// instances, an entry instance still has 120 workers to choose from.
	maxAttachments = 12
	// ownZoneAttachments is the number of entry instances of the sidecar's own
	// availability zone that are chosen before those of other zones, so that most runs
	// stay within a zone.
	ownZoneAttachments = maxAttachments / 2
	// maxTried bounds the entry instances that a sidecar tries to reach at a time.
	maxTried = 2 * maxAttachments
	// unreachableAfter is the time for which heartbeats to an entry instance have to
	// fail before the sidecar attaches to another one in addition.
	unreachableAfter = time.Second
)

// AddEntry adds the address of an entry instance. The sidecar learns the others from
// that one.
func (r *Runner) AddEntry(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address == "" || r.seeds[address] || r.ctx.Err() != nil {
		return
	}
	r.seeds[address] = true
	r.updateAttachments(clock.SinceBoot())
}

// AddEntryIfAlone is AddEntry if no entry instance answers.
func (r *Runner) AddEntryIfAlone(address string) {
	if r.Alone() {
		r.AddEntry(address)
	}
}

// Alone reports whether no entry instance answers heartbeats.
func (r *Runner) Alone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.entries {
		if c.owner != nil && c.failingSince == 0 {
			return false
		}
	}
	return true
}

// knownEntries returns the entry instances that the attached ones list, and the seeds; mu
// is held.
func (r *Runner) knownEntries() []wire.Peer {
	known := map[string]wire.Peer{}
	for address := range r.seeds {
		known[address] = wire.Peer{Process: ident.Process{Instance: address}, Address: address}
	}
	for _, c := range r.entries {
		if c.failingSince > 0 {
			continue // its list may be old
		}
		for _, member := range c.members {
			known[member.Address] = member
		}
	}
	list := make([]wire.Peer, 0, len(known))
	for _, member := range known {
		list = append(list, member)
	}
	return list
}

// updateAttachments attaches to the chosen entry instances and detaches from the others;
// mu is held. For each chosen one that is unreachable, the next in the order of
// preference is chosen in addition.
func (r *Runner) updateAttachments(now time.Duration) {
	if r.ctx.Err() != nil {
		return
	}
	order := attachment.Choose(r.self.Process.Instance, r.cfg.Zone, r.knownEntries(), maxTried, ownZoneAttachments)
	wanted, reachable := map[string]bool{}, 0
	for _, member := range order {
		if reachable == maxAttachments {
			break
		}
		wanted[member.Address] = true
		if !r.unreachable(now, member.Address) {
			reachable++
		}
	}
	for address := range wanted {
		if r.entries[address] == nil {
			r.attach(now, address)
		}
	}
	for address, c := range r.entries {
		// An entry instance that does not answer is tried until entryTimeout has passed.
		if unwanted := !wanted[address] && c.failingSince == 0 && c.owner != nil; unwanted != c.unwanted {
			c.unwanted = unwanted
			c.wake()
		}
	}
}

// unreachable reports whether heartbeats to an entry instance have failed for some time;
// mu is held.
func (r *Runner) unreachable(now time.Duration, address string) bool {
	c := r.entries[address]
	return c != nil && c.failingSince > 0 && now-c.failingSince > unreachableAfter
}

// attach starts sending heartbeats to the entry instance at an address; mu is held.
func (r *Runner) attach(now time.Duration, address string) {
	c := &entryClient{runner: r, address: address, rpcClient: rpcnet.NewClient(address), wakeCh: make(chan struct{}, 1), firstSession: uint64(now.Milliseconds())}
	c.rpcClient.OnDisconnect = func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		c.wake()
	}
	r.entries[address] = c
	r.wg.Go(c.sendHeartbeats)
}

// remove ends the attachment to an entry instance that has no runs here; mu is held.
func (c *entryClient) remove(now time.Duration, reason string) {
	r := c.runner
	if c.owner != nil {
		r.dropOwner(now, c.owner, reason, now-c.owner.LastContact())
		delete(r.owners, c.owner.process)
	}
	delete(r.entries, c.address)
	c.rpcClient.Close()
	event.LogRateLimited(event.EntryDetached, "address", c.address, "reason", reason, "attached", len(r.entries))
	r.updateAttachments(now)
}
