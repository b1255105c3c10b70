package broker

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
)

// TestWaitMetrics guards against waits for racks and runs elsewhere that no metric shows, and
// against such metrics of queues whose tasks prefer no rack.
func TestWaitMetrics(t *testing.T) {
	registry := metrics.New(metrics.Options{Role: "entry"})
	b := &Broker{metrics: registry}
	registry.Class("other-queue", "").Response.Record(time.Millisecond)
	b.recordWait(placement.WaitEnded{Queue: "q", Rack: "a", Waited: 30 * time.Millisecond, Outcome: placement.WaitPaid})
	b.recordWait(placement.WaitEnded{Queue: "q", Rack: "a", Waited: 50 * time.Millisecond, Outcome: placement.WaitMoved})
	b.recordAwayRuns(&placement.JobStats{Queue: "q", AwayRuns: 3})
	b.recordAwayRuns(&placement.JobStats{Queue: "other-queue"})
	if err := registry.Close(); err != nil {
		t.Fatal(err)
	}
	var ctx fasthttp.RequestCtx
	registry.Handle(&ctx)
	body := string(ctx.Response.Body())
	for _, want := range []string{
		`cardamomturn_rack_waits_total{kind="",outcome="paid",role="entry",team="q"} 1`,
		`cardamomturn_rack_waits_total{kind="",outcome="moved_on",role="entry",team="q"} 1`,
		`cardamomturn_rack_wait_seconds_count{kind="",role="entry",team="q"} 2`,
		`cardamomturn_runs_away_total{kind="",role="entry",team="q"} 3`,
	} {
		if !strings.Contains(body, want) {
			t.Errorf("line %s is missing in\n%s", want, body)
		}
	}
	if strings.Contains(body, `rack_wait_seconds_count{kind="",role="entry",team="other-queue"}`) {
		t.Error("a queue without waits has metrics about them")
	}
}
