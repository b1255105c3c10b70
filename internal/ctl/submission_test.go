package ctl

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// Guards against the answer that the owner is unreachable being treated as final,
// and against progress that is not reported.
func TestSubmitPollsUntilFinal(t *testing.T) {
	task := func(s jobapi.TaskState) jobapi.TaskAnswer { return jobapi.TaskAnswer{State: s} }
	answers := []jobapi.JobAnswer{
		{State: jobapi.JobRefused, Reason: jobapi.ReasonOwnerUnreachable},
		{State: jobapi.JobRunning, Tasks: []jobapi.TaskAnswer{task(jobapi.TaskCompleted), task(jobapi.TaskRunning)}},
		{State: jobapi.JobComplete, Tasks: []jobapi.TaskAnswer{task(jobapi.TaskCompleted), task(jobapi.TaskCompleted)}},
	}
	var methods []string
	address := startServer(t, func(ctx *fasthttp.RequestCtx) {
		methods = append(methods, string(ctx.Method())+string(ctx.QueryArgs().Peek("wait")))
		a := answers[min(len(methods), len(answers))-1]
		a.SubmissionID = submissionPrefix + "x"
		respondJSON(ctx, map[jobapi.JobState]int{jobapi.JobRefused: 503, jobapi.JobRunning: 202, jobapi.JobComplete: 200}[a.State], a)
	})
	var done []int
	req := &jobapi.JobRequest{SubmissionID: submissionPrefix + "x", Tasks: make([]jobapi.TaskRequest, 2)}
	a, err := NewClient(address, address, 5*time.Second).Submit(req, func(n int) { done = append(done, n) })
	if err != nil || a.State != jobapi.JobComplete {
		t.Fatalf("answer %v, %v", a, err)
	}
	handlerMu.Lock()
	defer handlerMu.Unlock()
	if fmt.Sprint(methods) != "[POSTfalse GETfalse GETfalse]" || fmt.Sprint(done) != "[1]" {
		t.Errorf("requests %v, progress %v", methods, done)
	}
}

// Guards against tables with missing rows, and against a drain --wait that ends
// while tasks remain.
func TestTablesAndDrain(t *testing.T) {
	var tasksLeft = 2
	address := startServer(t, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/v1/stats":
			fmt.Fprintf(ctx, `{"classes":[{"team":"b","kind":"k","queued":%d,"refused":{"queueFull":4}},{"team":"a","kind":"k"}],
				"waste":{"EmptyRecalls":11},"times":[{"team":"a","kind":"k","response":{"count":7,"p50":12.5,"buckets":[0,7]}}]}`, tasksLeft)
			tasksLeft = max(0, tasksLeft-1)
		case "/v1/drain":
		default:
			ctx.SetBodyString(`{"metadata":{"name":"t","generation":3},"spec":{},"status":{"processes":5,"inForce":2,
				"work":{"queued":6,"refused":{"queueFull":3}},"conditions":[{"type":"Lowering","status":"True","message":"60 of 40"}]}}`)
		}
	})
	for _, c := range []struct {
		args []string
		want []string
	}{
		{[]string{"describe", "team", "t"}, []string{"2/5 (2 of 5 processes)", "Lowering=True", "6 queued", "queueFull 3"}},
		{[]string{"drain", "--wait", address}, []string{"no work left"}},
		{[]string{"stats"}, []string{"queueFull 4", "11", "12.5ms", "| █|"}},
	} {
		code, out, errOut := runCtl(address, "", c.args...)
		for _, want := range c.want {
			if code != ExitOK || !strings.Contains(out, want) {
				t.Errorf("%v: exit code %d, no %q in %s%s", c.args, code, want, out, errOut)
			}
		}
	}
	if tasksLeft != 0 {
		t.Errorf("drain ended with %d tasks left", tasksLeft)
	}
}

// Guards against a watch that does not resume from its last revision after a lost
// connection, prints a status twice, or omits changes after status 410.
func TestWatchResumes(t *testing.T) {
	team := func(kind string, rev int, rest string) string {
		return fmt.Sprintf(`{"type":%q,"revision":%d,"resource":{"type":"teams","name":"t%d"}%s}`+"\n", kind, rev, rev, rest)
	}
	inForce := `,"status":{"observedGeneration":1,"inForceSince":"2025-01-02T03:04:05Z","processes":4,"inForce":4}`
	heartbeat := `{"type":"HEARTBEAT","revision":5}` + "\n"
	streams := []string{
		team("PUT", 0, "") + team("STATUS", 0, inForce) + heartbeat + team("PUT", 6, ""),
		team("STATUS", 0, inForce) + heartbeat + team("PUT", 7, ""),
		"", // 410
		team("PUT", 0, "") + heartbeat + team("DELETE", 9, ""),
	}
	var since []string
	address := startServer(t, func(ctx *fasthttp.RequestCtx) {
		since = append(since, string(ctx.QueryArgs().Peek("since")))
		text := streams[min(len(since), len(streams))-1]
		if text == "" {
			ctx.SetStatusCode(410)
			return
		}
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { fmt.Fprint(w, text) })
	})
	code, out, errOut := runCtl(address, "", "watch", "--count", "6", "teams")
	var shown []string
	for line := range strings.Lines(out) {
		shown = append(shown, strings.Join(strings.Fields(line)[:2], " "))
	}
	want := "[PUT teams/t0 STATUS teams/t0 PUT teams/t6 PUT teams/t7 PUT teams/t0 DELETE teams/t9]"
	if code != ExitOK || fmt.Sprint(since) != "[0 6 7 0]" || fmt.Sprint(shown) != want {
		t.Errorf("exit code %d, since %v, shown %v, errors %s", code, since, shown, errOut)
	}
	if !strings.Contains(out, "on 4 of 4 processes, everywhere since 2025-01-02T03:04:05Z") || !strings.Contains(errOut, "starting from a snapshot") {
		t.Errorf("output %s, errors %s", out, errOut)
	}
}

// Guards against an error response without a job answer being reported as "not
// run" although an earlier request may have submitted the job.
func TestSubmitRefusedAfterServerError(t *testing.T) {
	for name, c := range map[string]struct {
		statuses []int
		want     int
	}{
		"refused at once":        {[]int{429}, ExitRefused},
		"refused after an error": {[]int{502, 429}, ExitUnknown},
		"errors until the end":   {[]int{500}, ExitUnknown},
	} {
		calls := 0
		address := startServer(t, func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(c.statuses[min(calls, len(c.statuses)-1)])
			calls++
		})
		code, errOut := runCtlOnManualClock(address, "submit", "--timeout", "500ms", "--team", "a", "--kind", "b", "--id", submissionPrefix+"x")
		if code != c.want {
			t.Errorf("%s: exit code %d, want %d: %s", name, code, c.want, errOut)
		}
	}
}
