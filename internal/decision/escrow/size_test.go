package escrow

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
// between two entry instances and the memory per limit, for 110 teams with
// three amounts each, every one of which has moved share.
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
	giver := g.ls[0]
	for _, h := range giver.holdings {
		for _, p := range g.ps[1:] {
			giver.give(h, p.String(), 10)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := func() float64 {
		beat := wire.PeerHeartbeat{ShareTotals: giver.Given(g.ps[1]), ShareDemands: giver.Wants(time.Second)}
		data, err := msgpack.Marshal(&beat)
		if err != nil {
			b.Fatal(err)
		}
		none, _ := msgpack.Marshal(&wire.PeerHeartbeat{})
		return float64(len(data) - len(none))
	}
	moved := size()
	giver.Acked(g.ps[1], g.alloc.Seq, giver.Given(g.ps[1]))
	idle := size()
	for b.Loop() {
		giver.Wants(time.Second)
		giver.Given(g.ps[1])
	}
	b.ReportMetric(moved/(3*teams), "B/moved-limit")
	b.ReportMetric(idle, "B/idle-heartbeat")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(3*teams*holders), "B/limit-and-holder")
	runtime.KeepAlive(g)
}
