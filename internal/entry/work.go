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
	// workAge is how long the figures of the peers are used again.
	workAge = 500 * time.Millisecond
	// workTimeout bounds the reading from one peer.
	workTimeout = 500 * time.Millisecond
)

// workCache gathers how the work fares at all live entry instances.
type workCache struct {
	e *Entry

	mu   sync.Mutex // guards what follows
	at   time.Time
	work wire.WorkReply
}

// of sums up the work of a kind, a team or a limit; nil for other resources.
func (w *workCache) of(ref resource.Ref) *resource.WorkSummary {
	matches := classesOf(ref, w.e.config.Document())
	if matches == nil {
		return nil
	}
	sum := &resource.WorkSummary{}
	var buckets []int64
	var sumMs, maxMs float64
	for _, c := range w.gather().Classes {
		if !matches(c.Class) {
			continue
		}
		add(sum, c)
		buckets = addBuckets(buckets, c.ResponseBuckets)
		sumMs += c.ResponseSumMs
		maxMs = max(maxMs, c.ResponseMaxMs)
	}
	sum.Response = metrics.Summarize(buckets, sumMs, maxMs)
	return sum
}

func classesOf(ref resource.Ref, doc *resource.Document) func(wire.Class) bool {
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

func add(sum *resource.WorkSummary, c wire.ClassWork) {
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

// gather returns the work of all live entry instances, at most workAge old. A
// peer that does not answer in time is left out.
func (w *workCache) gather() wire.WorkReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.at) < workAge {
		return w.work
	}
	all := w.e.ownWork()
	peers := w.e.core.view.Load().peers
	replies := make(chan wire.WorkReply, len(peers))
	for _, client := range peers {
		go func() { replies <- w.e.askWork(client) }()
	}
	for range peers {
		r := <-replies
		all.Classes = append(all.Classes, r.Classes...)
		all.Shares = append(all.Shares, r.Shares...)
	}
	w.at, w.work = time.Now(), all
	return all
}

func (e *Entry) askWork(client *rpcnet.Client) wire.WorkReply {
	ctx, cancel := context.WithTimeout(e.ctx, workTimeout)
	defer cancel()
	var reply wire.WorkReply
	if client.Call(ctx, wire.ServiceEntry+".Work", &wire.WorkRequest{}, &reply) != nil {
		return wire.WorkReply{}
	}
	return reply
}

// ownWork returns the work of this entry instance.
func (e *Entry) ownWork() wire.WorkReply {
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
