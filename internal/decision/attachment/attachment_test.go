package attachment

import (
	"slices"
	"strconv"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestChoose guards against a choice that leaves out the sidecar's own
// availability zone, that attaches all sidecars to a few entry instances, or that
// detaches sidecars from entry instances that have not failed.
func TestChoose(t *testing.T) {
	var peers []wire.Peer
	for i := range 9 {
		n := strconv.Itoa(i)
		peers = append(peers, wire.Peer{Process: ident.Process{Instance: "entry-" + n}, Address: n, Zone: strconv.Itoa(i % 3)})
	}
	sidecarsPerEntry := map[string]int{}
	for i := range 900 {
		name, zone := "sidecar-"+strconv.Itoa(i), strconv.Itoa(i%3)
		got := Choose(name, zone, peers, 3, 1)
		zones := map[string]bool{}
		for _, p := range got {
			zones[p.Zone] = true
			sidecarsPerEntry[p.Address]++
		}
		if len(got) != 3 || len(zones) != 3 {
			t.Fatalf("%s of zone %s attaches to %v", name, zone, got)
		}
		after := Choose(name, zone, peers[1:], 3, 1)
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

// TestOwnZone guards against a sidecar that spreads its attachments over all zones alike,
// so that most runs cross zones, and against a choice that is not the beginning of a
// larger one: a substitute for an unreachable entry instance would then detach others.
func TestOwnZone(t *testing.T) {
	var peers []wire.Peer
	for i := range 55 {
		n := strconv.Itoa(i)
		peers = append(peers, wire.Peer{Process: ident.Process{Instance: "entry-" + n}, Zone: strconv.Itoa(i % 6)})
	}
	sidecarsPerEntry := map[string]int{}
	for i := range 240 {
		name, zone := "sidecar-"+strconv.Itoa(i), strconv.Itoa(i%6)
		all := Choose(name, zone, peers, len(peers), 6)
		chosen := Choose(name, zone, peers, 12, 6)
		if !slices.Equal(all[:12], chosen) {
			t.Fatalf("%s: the choice of 12 is not the beginning of the order of all", name)
		}
		zones := map[string]int{}
		for _, p := range chosen {
			zones[p.Zone]++
			sidecarsPerEntry[p.Process.Instance]++
		}
		if zones[zone] != 6 || len(zones) != 6 {
			t.Fatalf("%s of zone %s has attachments by zone %v", name, zone, zones)
		}
	}
	for entry, n := range sidecarsPerEntry {
		if n < 26 || n > 78 {
			t.Errorf("%s has %d sidecars, mean 52", entry, n)
		}
	}
}
