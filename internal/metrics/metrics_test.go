package metrics

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestHandlerAndClassLimit guards against metrics that the handler does not serve,
// and against label combinations beyond the limits.
func TestHandlerAndClassLimit(t *testing.T) {
	limitCalls := 0
	r := New(Options{Role: "entry", MaxClasses: 2, OnClassLimit: func() { limitCalls++ }})
	for i := range 5 {
		c := r.Class(fmt.Sprintf("team%d", i), "roster-check")
		c.Response.Record(30 * time.Millisecond)
		c.Jobs.Add("complete", 1)
	}
	for i := range 2 * MaxLabelValues {
		r.Class("team0", "roster-check").Refused.Add(fmt.Sprint("reason", i), 1)
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI("/metrics")
	r.Handle(&ctx)
	body := string(ctx.Response.Body())
	for _, want := range []string{
		`cardamomturn_jobs_total{kind="roster-check",role="entry",state="complete",team="team1"} 1`,
		`cardamomturn_jobs_total{kind="other",role="entry",state="complete",team="other"} 3`,
		`cardamomturn_job_response_seconds_bucket{kind="roster-check",role="entry",team="team0",le="0.05"} 1`,
		`cardamomturn_jobs_refused_total{kind="roster-check",reason="other",role="entry",team="team0"} 32`,
	} {
		if !strings.Contains(body, want) {
			t.Errorf("line %s is missing in %d bytes of metrics", want, len(body))
		}
	}
	if strings.Contains(body, "team2") || limitCalls != 1 || len(r.Snapshot()) != 3 {
		t.Errorf("class limit exceeded: OnClassLimit called %d times, snapshot %v", limitCalls, r.Snapshot())
	}
}

// TestSummary guards against quantiles outside of their bucket or above the
// maximum.
func TestSummary(t *testing.T) {
	r := New(Options{Role: "entry"})
	defer r.Close()
	h := r.Class("a", "b").Run
	for range 98 {
		h.Record(15 * time.Millisecond)
	}
	h.Record(400 * time.Millisecond)
	h.Record(40 * time.Second)
	s := h.Summary()
	if s.Count != 100 || s.P50 < 10 || s.P50 > 20 || s.P99 < 200 || s.P99 > 500 || s.Max != 40000 || s.Buckets[14] != 1 {
		t.Errorf("got %+v", s)
	}
}
