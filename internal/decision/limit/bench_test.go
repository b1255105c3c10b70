package limit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// BenchmarkHeartbeat reports the bytes that the limits add to a heartbeat
// between two entry instances, and the memory per limit. There are 110 teams
// with three limits each, and share of each limit has been transferred.
func BenchmarkHeartbeat(b *testing.B) {
	const teams, holders = 110, 4
	doc := &resource.Document{Revision: 1, Teams: map[string]*resource.Team{}}
	total := int64(1000)
	for i := range teams {
		doc.Teams[fmt.Sprintf("team-%03d", i)] = &resource.Team{Spec: resource.TeamSpec{
			Quota: resource.Amounts{Concurrency: &total, Rate: &total, Queue: &total}}}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	g := newGroup(holders, doc)
	sender := g.limiters[0]
	for _, st := range sender.states {
		for _, p := range g.processes[1:] {
			sender.transfer(st, p.String(), 10)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := func() float64 {
		beat := wire.PeerHeartbeat{ShareTotals: sender.UnackedTotals(g.processes[1]), ShareDemands: sender.Demand(time.Second)}
		data, err := msgpack.Marshal(&beat)
		if err != nil {
			b.Fatal(err)
		}
		none, _ := msgpack.Marshal(&wire.PeerHeartbeat{})
		return float64(len(data) - len(none))
	}
	afterTransfer := size()
	sender.HandleAck(g.processes[1], g.alloc.Seq, sender.UnackedTotals(g.processes[1]))
	acknowledged := size()
	for b.Loop() {
		sender.Demand(time.Second)
		sender.UnackedTotals(g.processes[1])
	}
	b.ReportMetric(afterTransfer/(3*teams), "B/moved-limit")
	b.ReportMetric(acknowledged, "B/idle-heartbeat")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(3*teams*holders), "B/limit-and-holder")
	runtime.KeepAlive(g)
}
