package broker

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// memberList is a list of entry instances with its hash. Processes exchange the hash,
// and the list only if the hashes differ. Incarnations are left out, so that a restart
// does not change the list.
type memberList struct {
	members []wire.Peer // by address
	hash    uint64
}

func newMemberList(members []wire.Peer) memberList {
	list := memberList{members: slices.Clone(members)}
	slices.SortFunc(list.members, func(a, b wire.Peer) int { return strings.Compare(a.Address, b.Address) })
	h := xxhash.New()
	for i := range list.members {
		m := &list.members[i]
		m.Process.Incarnation = 0
		for _, field := range []string{m.Address, m.Process.Instance, m.Zone} {
			// Digest.WriteString returns no error.
			_, _ = h.WriteString(field)
			_, _ = h.WriteString("\x00")
		}
	}
	list.hash = h.Sum64()
	return list
}

// listUnless returns the list, or nil if it has the given hash, and its hash.
func (l memberList) listUnless(hash uint64) ([]wire.Peer, uint64) {
	if hash == l.hash {
		return nil, l.hash
	}
	return l.members, l.hash
}

// maxPeers bounds the number of peers, so that invented addresses in messages can't
// use up the memory.
const maxPeers = 2000

// addPeer adds an entry instance unless it is known, is this one, or has no valid
// address; mu is held. The first exchange with it starts at once.
func (b *Broker) addPeer(member wire.Peer) {
	if p := b.peers[member.Address]; p != nil {
		if member.Process.Instance != "" {
			p.member.Process, p.member.Zone = ident.Process{Instance: member.Process.Instance}, member.Zone
		}
		return
	}
	if _, err := netip.ParseAddrPort(member.Address); err != nil || member.Address == b.self.Address || len(b.peers) >= maxPeers || b.ctx.Err() != nil {
		return
	}
	p := newPeer(member)
	b.peers[member.Address] = p
	b.startExchange(p)
}

// updateMembers rebuilds the list of this instance and of the peers that have replied
// recently; mu is held.
func (b *Broker) updateMembers() {
	members := []wire.Peer{b.self}
	for _, p := range b.peers {
		if !p.lastReply.IsZero() && time.Since(p.lastReply) < peerTimeout {
			members = append(members, p.member)
		}
	}
	b.members = newMemberList(members)
}
