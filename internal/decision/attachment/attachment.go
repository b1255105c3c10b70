// Package attachment chooses the entry instances to which a sidecar attaches. Each
// sidecar attaches to a bounded number of them, so that the cost of heartbeats grows
// neither at a sidecar with the number of entry instances nor at an entry instance
// with the size of the fleet, as long as both grow alike.
package attachment

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// score is the rendezvous hash of an entry instance for a sidecar. It does not depend
// on incarnations, so that a restart does not change the choice.
func score(sidecar, entry string) uint64 { return xxhash.Sum64String(sidecar + "\x00" + entry) }

// Choose returns at most count entry instances, in order of preference. The first
// ownZone of them have the highest scores in the sidecar's own availability zone, if
// that zone has so many. Each further one has the highest score in the zones from which
// the fewest are chosen so far. The choice for a smaller count is the beginning of that
// for a larger one, and the loss of an entry instance changes the choice only of the
// sidecars that had chosen it.
func Choose(sidecar, zone string, peers []wire.Peer, count, ownZone int) []wire.Peer {
	candidates := sortByScore(sidecar, peers)
	var chosen []wire.Peer
	chosenPerZone := map[string]int{}
	choose := func(i int) {
		chosenPerZone[candidates[i].Zone]++
		chosen = append(chosen, candidates[i])
		candidates = slices.Delete(candidates, i, i+1)
	}
	for range min(ownZone, count) {
		i := slices.IndexFunc(candidates, func(p wire.Peer) bool { return p.Zone == zone })
		if i < 0 {
			break
		}
		choose(i)
	}
	for len(chosen) < count && len(candidates) > 0 {
		best := 0
		for i := range candidates {
			if chosenPerZone[candidates[i].Zone] < chosenPerZone[candidates[best].Zone] {
				best = i
			}
		}
		choose(best)
	}
	return chosen
}

// sortByScore returns the peers by falling score for a sidecar.
func sortByScore(sidecar string, peers []wire.Peer) []wire.Peer {
	type scored struct {
		peer  wire.Peer
		score uint64
	}
	list := make([]scored, len(peers))
	for i, p := range peers {
		list[i] = scored{p, score(sidecar, p.Process.Instance)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	sorted := make([]wire.Peer, len(list))
	for i, s := range list {
		sorted[i] = s.peer
	}
	return sorted
}
