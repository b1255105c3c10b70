package ctl

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// Guards against an owner that can't be reached being taken for the final
// answer, and against progress that is not reported.
func TestSubmitAsksOnUntilFinal(t *testing.T) {
	task := func(s jobapi.TaskState) jobapi.TaskAnswer { return jobapi.TaskAnswer{State: s} }
	answers := []jobapi.JobAnswer{
		{State: jobapi.JobRefused, Reason: jobapi.ReasonOwnerUnreached},
		{State: jobapi.JobRunning, Tasks: []jobapi.TaskAnswer{task(jobapi.TaskCompleted), task(jobapi.TaskRunning)}},
		{State: jobapi.JobComplete, Tasks: []jobapi.TaskAnswer{task(jobapi.TaskCompleted), task(jobapi.TaskCompleted)}},
	}
	var methods []string
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		methods = append(methods, string(ctx.Method())+string(ctx.QueryArgs().Peek("wait")))
		a := answers[min(len(methods), len(answers))-1]
		a.SubmissionID = prefix + "x"
		respond(ctx, map[jobapi.JobState]int{jobapi.JobRefused: 503, jobapi.JobRunning: 202, jobapi.JobComplete: 200}[a.State], a)
	})
	var done []int
	req := &jobapi.JobRequest{SubmissionID: prefix + "x", Tasks: make([]jobapi.TaskRequest, 2)}
	a, err := NewClient(address, address, 5*time.Second).Submit(req, func(n int) { done = append(done, n) })
	if err != nil || a.State != jobapi.JobComplete {
		t.Fatalf("answer %v, %v", a, err)
	}
	handling.Lock()
	defer handling.Unlock()
	if fmt.Sprint(methods) != "[POSTfalse GETfalse GETfalse]" || fmt.Sprint(done) != "[1]" {
		t.Errorf("requests %v, progress %v", methods, done)
	}
}

// Guards against a watch that loses its revision or ends at a lost connection,
// and against tables that lack their rows.
func TestReadCommands(t *testing.T) {
	var since []string
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		switch {
		case string(ctx.Path()) == "/v1/stats":
			ctx.SetBodyString(`{"classes":[{"team":"b","kind":"k"},{"team":"a","kind":"k","response":{"count":7,"p50":12.5,"buckets":[0,7]}}]}`)
		case ctx.QueryArgs().Has("watch"):
			since = append(since, string(ctx.QueryArgs().Peek("since")))
			if len(since) == 2 {
				ctx.SetStatusCode(503)
				return
			}
			fmt.Fprintf(ctx, `{"revision":%d,"items":[{"metadata":{"name":"t%d"},"spec":{"weight":2}}]}`, 5*len(since), len(since))
		default:
			ctx.SetBodyString(`{"metadata":{"name":"t","generation":3},"spec":{},"status":{"processes":5,"inForce":2,
				"conditions":[{"type":"Lowering","status":"True","message":"60 of 40"}]}}`)
		}
	})
	code, out, _ := run(address, "", "watch", "--count", "2", "teams")
	if code != ExitOK || fmt.Sprint(since) != "[0 5 5]" || !strings.Contains(out, "revision 15") || !strings.Contains(out, `{"weight":2}`) {
		t.Errorf("watch: exit code %d, since %v, output %s", code, since, out)
	}
	code, out, _ = run(address, "", "describe", "team", "t")
	if code != ExitOK || !strings.Contains(out, "2/5 (2 of 5 processes)") || !strings.Contains(out, "Lowering=True") {
		t.Errorf("describe: exit code %d, output %s", code, out)
	}
	code, out, _ = run(address, "", "stats")
	if code != ExitOK || strings.Index(out, "a ") > strings.Index(out, "b ") || !strings.Contains(out, "12.5ms") || !strings.Contains(out, "| █|") {
		t.Errorf("stats: exit code %d, output %s", code, out)
	}
}

// Guards against an error without an answer being reported as "not run" after
// an earlier request that may have submitted the job.
func TestSubmitErrorAfterServerFault(t *testing.T) {
	for name, c := range map[string]struct {
		statuses []int
		want     int
	}{
		"refused at once":       {[]int{429}, ExitRefused},
		"refused after a fault": {[]int{502, 429}, ExitUnknown},
		"faults until the end":  {[]int{500}, ExitUnknown},
	} {
		calls := 0
		address := serve(t, func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(c.statuses[min(calls, len(c.statuses)-1)])
			calls++
		})
		code, _, errOut := run(address, "", "submit", "--timeout", "500ms", "--team", "a", "--kind", "b", "--id", prefix+"x")
		if code != c.want {
			t.Errorf("%s: exit code %d, want %d: %s", name, code, c.want, errOut)
		}
	}
}
