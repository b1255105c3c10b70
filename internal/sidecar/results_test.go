package sidecar

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Guards against results that are dropped although their owner is attached, because the link
// to an earlier incarnation at another address has not timed out yet.
func TestResultsOfRestartedOwner(t *testing.T) {
	linkTo := func(address string, incarnation uint64) *link {
		return &link{addr: address, attached: true, peer: wire.Peer{Process: ident.Process{Instance: "entry", Incarnation: incarnation}, Address: address}}
	}
	s := &Sidecar{links: []*link{linkTo("10.0.0.1:1", 7), linkTo("10.0.0.2:1", 8)}}
	if s.isReplaced(ident.Process{Instance: "entry", Incarnation: 8}) {
		t.Error("the incarnation that is attached counts as replaced")
	}
	if !s.isReplaced(ident.Process{Instance: "entry", Incarnation: 6}) {
		t.Error("an incarnation that is not attached does not count as replaced")
	}
}
