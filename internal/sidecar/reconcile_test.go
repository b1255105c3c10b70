package sidecar

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestConfigRevisionNeverDecreases guards against an older document in the reply to a
// pull that replaces a newer one.
func TestConfigRevisionNeverDecreases(t *testing.T) {
	c := &configCopy{}
	for _, r := range []wire.PullConfigReply{
		{Revision: 5, Document: []byte(`{"revision":5}`)},
		{Revision: 4, Document: []byte(`{"revision":4}`)},
		{Revision: 6, Document: []byte(`{"revision":3}`)},
		{Revision: 7, Document: []byte(`no JSON`)},
	} {
		if _, ok := c.beginPull(wire.Revisions{InForce: 9}); !ok {
			t.Fatal("beginPull refused a peer with a newer revision")
		}
		doc, err := c.endPull(&r, parseDocument)
		if (doc != nil) != (r.Revision == 5) || (err != nil) != (r.Revision > 5) {
			t.Fatalf("revision %d: document %v, %v", r.Revision, doc, err)
		}
	}
	if got := c.revisions(); got != (wire.Revisions{Known: 7, InForce: 5, Rejected: 7}) {
		t.Fatalf("revisions %+v", got)
	}
}
