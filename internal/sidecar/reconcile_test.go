package sidecar

import (
	"slices"
	"strconv"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestChooseEntries guards against a choice that leaves out the sidecar's own
// availability zone, that attaches all sidecars to a few entry instances, or that
// detaches sidecars from entry instances that have not failed.
func TestChooseEntries(t *testing.T) {
	var peers []wire.Peer
	for i := range 9 {
		n := strconv.Itoa(i)
		peers = append(peers, wire.Peer{Process: ident.Process{Instance: "entry-" + n}, Address: n, Zone: strconv.Itoa(i % 3)})
	}
	sidecarsPerEntry := map[string]int{}
	for i := range 900 {
		name, zone := "sidecar-"+strconv.Itoa(i), strconv.Itoa(i%3)
		got := chooseEntries(name, zone, peers, 3)
		zones := map[string]bool{}
		for _, p := range got {
			zones[p.Zone] = true
			sidecarsPerEntry[p.Address]++
		}
		if len(got) != 3 || len(zones) != 3 {
			t.Fatalf("%s of zone %s attaches to %v", name, zone, got)
		}
		after := chooseEntries(name, zone, peers[1:], 3)
		for _, p := range got {
			if p.Address != "0" && !slices.Contains(after, p) {
				t.Fatalf("%s detaches from %s although only entry-0 failed", name, p.Address)
			}
		}
	}
	for addr, n := range sidecarsPerEntry {
		if n < 200 || n > 400 {
			t.Fatalf("entry instance %s has %d sidecars, mean 300", addr, n)
		}
	}
}

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
