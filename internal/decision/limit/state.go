package limit

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// rateWindow is the period over which a rate is counted.
	rateWindow = time.Second
	// burst is the time whose starts may come at once, at least one start, so
	// that delays on the way to the backend servers don't merge the starts of
	// two seconds. paceSlack makes up for the time between two looks.
	burst     = rateWindow / 10
	paceSlack = 20 * time.Millisecond
	// demandAge is how long a refused job counts as demand for queue share,
	// and how long a peer's demand counts after it was told.
	demandAge = time.Second
	// minPause and maxPause bound the time between two requests to peers for
	// the same limit.
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// holding is the state of one limit at this process.
type holding struct {
	limit Limit
	// enforced is false for a limit that the document no longer has while its
	// division still exists; its flows must be kept.
	enforced bool
	// epoch is that of the division, zero while there is none.
	epoch uint64
	base  int64
	// given and received are cumulative per peer incarnation; acked is the
	// part of given that the peer is known to have taken.
	given, received, acked map[string]int64
	// used is the number of running or waiting tasks; starts are the times of
	// the starts within the rate window, oldest first.
	used   int64
	starts []time.Duration
	// paced is when the last start was due at an even pace.
	paced time.Duration
	// owed is the part of the share that goes to peers as soon as it is free.
	owed int64
	// kept is since when idle share is kept from peers, negative if it isn't.
	kept time.Duration
	// refused is when a job last did not fit into a queue share, negative if
	// never, and short the number of tasks of the job refused.
	refused time.Duration
	short   int64
	// asked is when peers were last asked, and pause the time until they are
	// asked again; it doubles while the demand lasts.
	asked, pause time.Duration
	// asks holds the demand of peers.
	asks map[string]*ask
}

// ask is what a peer wants of a limit.
type ask struct {
	wire.ShareDemand
	at time.Duration
}

func newHolding() *holding {
	return &holding{given: map[string]int64{}, received: map[string]int64{}, acked: map[string]int64{},
		asks: map[string]*ask{}, refused: -1, kept: -1}
}

// forget drops the flows with a peer.
func (h *holding) forget(peer string) {
	delete(h.given, peer)
	delete(h.received, peer)
	delete(h.acked, peer)
	delete(h.asks, peer)
}

func (h *holding) share() int64 {
	s := h.base
	for _, g := range h.given {
		s -= g
	}
	for _, r := range h.received {
		s += r
	}
	return s
}

// inUse returns the part of the share that is taken at now.
func (h *holding) inUse(now time.Duration) int64 {
	if h.limit.Dimension != Rate {
		return h.used
	}
	i := 0
	for i < len(h.starts) && now-h.starts[i] >= rateWindow {
		i++
	}
	h.starts = h.starts[i:]
	return int64(len(h.starts))
}

// idle returns the part of the share that is not taken, negative if more than
// the share is taken.
func (h *holding) idle(now time.Duration) int64 { return h.share() - h.inUse(now) }

// full reports whether nothing more may start.
func (h *holding) full(now time.Duration) bool { return h.idle(now)-h.owed <= 0 }

// request limits how often peers are asked; it reports whether to ask now.
func (h *holding) request(now time.Duration) bool {
	if h.pause > 0 && now-h.asked < h.pause {
		return false
	}
	h.pause = min(max(2*h.pause, minPause), maxPause)
	h.asked = now
	return true
}

// early reports whether a start under a rate would come too soon after the
// earlier ones.
func (h *holding) early(now time.Duration) bool {
	s := h.share()
	if h.limit.Dimension != Rate || s <= 0 || len(h.starts) == 0 {
		return false
	}
	gap := rateWindow / time.Duration(s)
	return now < h.paced+gap-max(burst-gap, 0)-paceSlack
}

// started notes a start under a rate.
func (h *holding) started(now time.Duration) {
	h.starts = append(h.starts, now)
	h.paced = max(h.paced+rateWindow/time.Duration(max(h.share(), 1)), now)
}
