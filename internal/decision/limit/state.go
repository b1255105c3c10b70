package limit

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// rateWindow is the period over which a rate limit counts starts.
	rateWindow = time.Second
	// burstWindow is the period whose allowance of starts may be used at once.
	// The allowance is at least one start. The period is short so that delays
	// on the way to the backend servers don't merge the starts of two seconds.
	burstWindow = rateWindow / 10
	// paceTolerance compensates for the interval between two checks for starts.
	paceTolerance = 20 * time.Millisecond
	// demandTTL is how long a refused job counts as demand for queue share, and
	// how long the demand of a peer counts after it was received.
	demandTTL = time.Second
	// minRequestInterval and maxRequestInterval bound the time between two
	// requests to the peers for share of the same limit.
	minRequestInterval = 20 * time.Millisecond
	maxRequestInterval = 500 * time.Millisecond
)

// limitState is the state of one limit at this process.
type limitState struct {
	limit Limit
	// enforced is false if the configuration document no longer contains the
	// limit. As long as the allocation still contains it, its flows must be
	// kept.
	enforced bool
	// epoch is the epoch of the division, or zero if the limit is not
	// allocated. base is the base share of this process.
	epoch uint64
	base  int64
	// given and received are the cumulative transfers to and from each peer
	// incarnation. acked is the part of given that the peer has acknowledged.
	given, received, acked map[string]int64
	// used is the number of running or waiting tasks, depending on the
	// dimension. starts are the times of the starts within the rate window,
	// oldest first.
	used   int64
	starts []time.Duration
	// lastPaced is the time at which the last start was due at an even pace.
	lastPaced time.Duration
	// reserved is the part of the share that is reserved for peers and
	// transferred as soon as it is idle.
	reserved int64
	// retainedSince is when idle share was first retained for local tasks, or
	// negative if localDemand.retain is false. Once retainTime has passed, the
	// share is transferred nevertheless.
	retainedSince time.Duration
	// refusedAt is the time of the last job that did not fit into the queue
	// share, or negative if there was none. refusedTasks is the number of its
	// tasks.
	refusedAt    time.Duration
	refusedTasks int64
	// requestedAt is the time of the last request to the peers, and
	// requestInterval the time until the next one. The interval doubles while
	// the demand lasts.
	requestedAt, requestInterval time.Duration
	// peerDemands holds the last demand of each peer.
	peerDemands map[string]*peerDemand
}

// peerDemand is the demand of a peer for share of a limit.
type peerDemand struct {
	wire.ShareDemand
	receivedAt time.Duration
}

func newLimitState() *limitState {
	return &limitState{given: map[string]int64{}, received: map[string]int64{}, acked: map[string]int64{},
		peerDemands: map[string]*peerDemand{}, refusedAt: -1, retainedSince: -1}
}

// deletePeer deletes the flows and the demand of a peer.
func (st *limitState) deletePeer(peer string) {
	delete(st.given, peer)
	delete(st.received, peer)
	delete(st.acked, peer)
	delete(st.peerDemands, peer)
}

// share returns the base share less the transfers to peers, plus those from
// peers.
func (st *limitState) share() int64 {
	s := st.base
	for _, g := range st.given {
		s -= g
	}
	for _, r := range st.received {
		s += r
	}
	return s
}

// inUse returns the part of the share that is in use. It drops the starts that
// have left the rate window.
func (st *limitState) inUse(now time.Duration) int64 {
	if st.limit.Dimension != Rate {
		return st.used
	}
	i := 0
	for i < len(st.starts) && now-st.starts[i] >= rateWindow {
		i++
	}
	st.starts = st.starts[i:]
	return int64(len(st.starts))
}

// idle returns the part of the share that is not in use. It is negative if more
// than the share is in use.
func (st *limitState) idle(now time.Duration) int64 { return st.share() - st.inUse(now) }

// exhausted reports whether no share is left for another task.
func (st *limitState) exhausted(now time.Duration) bool { return st.idle(now)-st.reserved <= 0 }

// allowRequest limits the rate of requests to the peers. It reports whether a
// request may be sent now and records it.
func (st *limitState) allowRequest(now time.Duration) bool {
	if st.requestInterval > 0 && now-st.requestedAt < st.requestInterval {
		return false
	}
	st.requestInterval = min(max(2*st.requestInterval, minRequestInterval), maxRequestInterval)
	st.requestedAt = now
	return true
}

// tooEarly reports whether a start now would exceed the even pace of a rate
// limit.
func (st *limitState) tooEarly(now time.Duration) bool {
	s := st.share()
	if st.limit.Dimension != Rate || s <= 0 || len(st.starts) == 0 {
		return false
	}
	gap := rateWindow / time.Duration(s)
	return now < st.lastPaced+gap-max(burstWindow-gap, 0)-paceTolerance
}

// recordStart records a start under a rate limit.
func (st *limitState) recordStart(now time.Duration) {
	st.starts = append(st.starts, now)
	st.lastPaced = max(st.lastPaced+rateWindow/time.Duration(max(st.share(), 1)), now)
}
