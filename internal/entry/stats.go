package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/decision/membership"
	"github.com/cardamomturn/cardamomturn/internal/entry/filter/httperr"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Stats is the response body of GET /v1/stats. The counters in Classes and Waste
// start at zero with each incarnation of the entry instance, the other counters
// when the process starts.
type Stats struct {
	Entry    wire.Peer `json:"entry"`
	Draining bool      `json:"draining"`
	Sidecars int       `json:"sidecars"`
	// Credits is the number of unspent credits held.
	Credits int                  `json:"credits"`
	Peers   int                  `json:"peers"`
	Classes []ClassStats         `json:"classes"`
	Waste   dispatch.Waste       `json:"waste"`
	Times   []metrics.ClassStats `json:"times,omitempty"`
	// InternalBytes holds the bytes sent and received on the internal port.
	InternalBytes Bytes `json:"internalBytes"`
	// Traffic holds the traffic of all connections to other processes of the
	// system.
	Traffic rpcnet.Traffic `json:"traffic"`
	Memory  metrics.Memory `json:"memory"`
}

// Bytes holds the numbers of sent and received bytes.
type Bytes struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// ClassStats are the counters of one team and kind.
type ClassStats struct {
	Team      string           `json:"team"`
	Kind      string           `json:"kind"`
	Queued    int              `json:"queued"`
	Running   int              `json:"running"`
	Starts    int64            `json:"starts"`
	Completed int64            `json:"completed"`
	Failed    int64            `json:"failed"`
	Refused   map[string]int64 `json:"refused,omitempty"`
}

// Stats returns the current statistics, without Traffic and Memory.
func (e *Entry) Stats() Stats {
	var s Stats
	e.core.call(func(time.Duration) {
		v := e.core.view.Load()
		s.Entry = v.self
		s.Sidecars = len(e.core.sidecarTable.InState(membership.Live))
		s.Peers = len(v.peers)
		s.Credits = e.core.machine.Credits()
		s.Waste = e.core.machine.Waste()
		for _, c := range e.core.machine.Stats() {
			s.Classes = append(s.Classes, classStats(c))
		}
	})
	s.Draining = e.core.draining.Load()
	s.InternalBytes.Sent, s.InternalBytes.Received = e.rpcServer.ByteCounts()
	if e.deps.Metrics != nil {
		s.Times = e.deps.Metrics.Snapshot()
	}
	return s
}

func classStats(c dispatch.ClassStats) ClassStats {
	out := ClassStats{
		Team: c.Class.Team, Kind: c.Class.Kind, Queued: c.Queued, Running: c.Running,
		Starts: c.Starts, Completed: c.Completed, Failed: c.Failed,
	}
	for reason, n := range c.Refused {
		if out.Refused == nil {
			out.Refused = map[string]int64{}
		}
		out.Refused[string(reason)] = n
	}
	return out
}

func (e *Entry) handleStats(ctx *fasthttp.RequestCtx) {
	s := e.Stats()
	s.Traffic = rpcnet.TotalTraffic()
	s.Memory = metrics.ReadMemory(ctx.QueryArgs().GetBool("gc"))
	httperr.WriteJSON(ctx, fasthttp.StatusOK, s)
}
