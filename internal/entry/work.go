package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// maxWorkAge is how long workCache returns the same figures.
	maxWorkAge = 500 * time.Millisecond
	// workTimeout is the timeout of the call to one peer.
	workTimeout = 500 * time.Millisecond
)

// workCache reads and caches the counters of jobs and tasks, the response times
// and the limit shares of all live entry instances.
type workCache struct {
	e *Entry

	mu   sync.Mutex // guards the fields below
	at   time.Time
	work wire.WorkReply
}

// summarize returns the sums for a kind, a team or a limit; it returns nil for
// other resources.
func (w *workCache) summarize(ref resource.Ref) *resource.WorkSummary {
	matches := classFilter(ref, w.e.configSource.Document())
	if matches == nil {
		return nil
	}
	sum := &resource.WorkSummary{}
	var buckets []int64
	var responseSumMs, maxMs float64
	for _, c := range w.gather().Classes {
		if !matches(c.Class) {
			continue
		}
		addClassWork(sum, c)
		buckets = addBuckets(buckets, c.ResponseBuckets)
		responseSumMs += c.ResponseSumMs
		maxMs = max(maxMs, c.ResponseMaxMs)
	}
	sum.Response = metrics.Summarize(buckets, responseSumMs, maxMs)
	return sum
}

// classFilter returns a function that reports whether a class belongs to a kind,
// a team or a limit, or nil for other resources.
func classFilter(ref resource.Ref, doc *resource.Document) func(wire.Class) bool {
	switch ref.Type {
	case resource.TypeKind:
		return func(c wire.Class) bool { return c.Kind == ref.Name }
	case resource.TypeTeam:
		return func(c wire.Class) bool { return c.Team == ref.Name }
	case resource.TypeLimit:
		if doc == nil || doc.Limits[ref.Name] == nil {
			return nil
		}
		spec := doc.Limits[ref.Name].Spec
		return func(c wire.Class) bool { return c.Kind == spec.Kind && (spec.Team == "" || c.Team == spec.Team) }
	}
	return nil
}

func addClassWork(sum *resource.WorkSummary, c wire.ClassWork) {
	sum.Queued += c.Queued
	sum.Running += c.Running
	sum.Completed += c.Completed
	sum.Failed += c.Failed
	for reason, n := range c.Refused {
		if sum.Refused == nil {
			sum.Refused = map[string]int64{}
		}
		sum.Refused[reason] += n
	}
}

func addBuckets(sum, more []int64) []int64 {
	if sum == nil {
		return append(sum, more...)
	}
	for i := range min(len(sum), len(more)) {
		sum[i] += more[i]
	}
	return sum
}

// gather returns the figures of all live entry instances, at most maxWorkAge old.
// It omits a peer that does not answer within workTimeout.
func (w *workCache) gather() wire.WorkReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.at) < maxWorkAge {
		return w.work
	}
	all := w.e.localWork()
	peers := w.e.core.view.Load().peers
	replies := make(chan wire.WorkReply, len(peers))
	for _, client := range peers {
		go func() { replies <- w.e.fetchWork(client) }()
	}
	for range peers {
		r := <-replies
		all.Classes = append(all.Classes, r.Classes...)
		all.Shares = append(all.Shares, r.Shares...)
	}
	w.at, w.work = time.Now(), all
	return all
}

func (e *Entry) fetchWork(client *rpcnet.Client) wire.WorkReply {
	ctx, cancel := context.WithTimeout(e.ctx, workTimeout)
	defer cancel()
	var reply wire.WorkReply
	if client.Call(ctx, wire.ServiceEntry+".Work", &wire.WorkRequest{}, &reply) != nil {
		return wire.WorkReply{}
	}
	return reply
}

// localWork returns the figures of this entry instance.
func (e *Entry) localWork() wire.WorkReply {
	times := map[wire.Class]resource.Histogram{}
	if e.deps.Metrics != nil {
		for _, s := range e.deps.Metrics.Snapshot() {
			times[wire.Class{Team: s.Team, Kind: s.Kind}] = s.Response
		}
	}
	var out wire.WorkReply
	e.core.call(func(now time.Duration) {
		out.Shares = e.core.shareStates(now)
		for _, c := range e.core.machine.Stats() {
			w := wire.ClassWork{
				Class: c.Class, Queued: int64(c.Queued), Running: int64(c.Running),
				Completed: c.Completed, Failed: c.Failed, Refused: map[string]int64{},
			}
			for reason, n := range c.Refused {
				w.Refused[string(reason)] = n
			}
			t := times[c.Class]
			w.ResponseBuckets, w.ResponseSumMs, w.ResponseMaxMs = t.Buckets, t.Mean*float64(t.Count), t.Max
			out.Classes = append(out.Classes, w)
		}
	})
	return out
}
