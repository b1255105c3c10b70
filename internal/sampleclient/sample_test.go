package sampleclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// correctAnswer returns the correct answer to a request.
func correctAnswer(req *jobapi.JobRequest) *jobapi.JobAnswer {
	a := &jobapi.JobAnswer{SubmissionID: req.SubmissionID, State: jobapi.JobComplete}
	for _, t := range req.Tasks {
		a.Tasks = append(a.Tasks, jobapi.TaskAnswer{State: jobapi.TaskCompleted, Result: t.Payload, Worker: "w1", RunMs: 3})
	}
	return a
}

// TestCheckAnswer guards against a sample that reports success for an answer that is
// incomplete or belongs to another request.
func TestCheckAnswer(t *testing.T) {
	req := &jobapi.JobRequest{SubmissionID: "e.1.2.x", Tasks: []jobapi.TaskRequest{
		{Payload: []byte(`{"echo":0}`)}, {Payload: []byte(`{"echo":1}`)},
	}}
	if err := CheckAnswer(req, correctAnswer(req)); err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func(a *jobapi.JobAnswer){
		"other ID":       func(a *jobapi.JobAnswer) { a.SubmissionID = "e.1.2.y" },
		"failed job":     func(a *jobapi.JobAnswer) { a.State = jobapi.JobFailed },
		"missing task":   func(a *jobapi.JobAnswer) { a.Tasks = a.Tasks[:1] },
		"failed task":    func(a *jobapi.JobAnswer) { a.Tasks[1].State = jobapi.TaskMayHaveRun },
		"swapped result": func(a *jobapi.JobAnswer) { a.Tasks[0], a.Tasks[1] = a.Tasks[1], a.Tasks[0] },
		"no result":      func(a *jobapi.JobAnswer) { a.Tasks[0].Result = nil },
	} {
		a := correctAnswer(req)
		corrupt(a)
		if CheckAnswer(req, a) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestRun guards against a sample that skips the configuration, the large job or the
// report.
func TestRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(jobapi.HeaderSubmissionPrefix, "e1.ab.1.")
		switch path := string(ctx.Path()); {
		case path == "/v1/submissions":
		case path == "/v1/jobs":
			var req jobapi.JobRequest
			_ = json.Unmarshal(ctx.PostBody(), &req)
			data, _ := json.Marshal(correctAnswer(&req))
			ctx.SetBody(data)
		case ctx.IsPut():
			ctx.SetBody(ctx.PostBody())
		default:
			ctx.SetBodyString(`{"spec":{},"status":{"inForceSince":"2025-01-02T03:04:05Z"}}`)
		}
	}}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	var out bytes.Buffer
	address := l.Addr().String()
	if err := Run(context.Background(), Options{Caller: address, Operator: address, Out: &out, Timeout: 20 * time.Second}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"330 of 330 tasks with their results", "worker w1 ran 330 tasks", "one task: 100, p50", "large job: 330, p50 3ms"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("report lacks %q:\n%s", want, out.String())
		}
	}
}
