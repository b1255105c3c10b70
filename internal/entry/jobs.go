package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"

	"github.com/fasthttp/router"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/entry/filter/httperr"
	"github.com/cardamomturn/cardamomturn/internal/entry/filter/inflight"
	"github.com/cardamomturn/cardamomturn/internal/entry/filter/panics"
	"github.com/cardamomturn/cardamomturn/internal/entry/filter/prefix"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/jsonlist"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// maxInFlight is the maximum number of callers' requests in flight at one entry
// instance.
const maxInFlight = 20000

// callerHandler returns the handler of the caller port, which applies the request
// filters and then the routes.
func (e *Entry) callerHandler() fasthttp.RequestHandler {
	r := router.New()
	r.HandleMethodNotAllowed = true
	r.POST("/v1/submissions", e.handleSubmissionPrefix)
	r.POST("/v1/jobs", e.handleSubmit)
	r.GET("/v1/jobs/{id}", e.handleGet)
	r.DELETE("/v1/jobs/{id}", e.handleCancel)
	r.GET("/healthz", e.handleHealth)
	r.NotFound = notFound
	h := r.Handler
	h = prefix.New(h, prefix.Config{Prefix: e.submissionPrefix})
	h = inflight.New(h, inflight.Config{Count: &e.inFlight, Max: maxInFlight})
	return panics.New(h, panics.Config{Report: e.reportPanic})
}

func notFound(ctx *fasthttp.RequestCtx) {
	httperr.Write(ctx, fasthttp.StatusNotFound, httperr.Body{Error: "no such path: " + string(ctx.Path())})
}

func (e *Entry) reportPanic(path string, value any, stack []byte) {
	e.log(event.HTTPPanic, "path", path, "value", fmt.Sprint(value), "stack", string(stack))
}

// submissionPrefix returns the prefix of the submission IDs that are issued now.
func (e *Entry) submissionPrefix() string {
	return ident.SubmissionPrefix(*e.core.self.Load(), e.core.window.Load())
}

// submissionPrefixResponse is the response body of POST /v1/submissions.
type submissionPrefixResponse struct {
	// Prefix is the prefix of a submission ID; the caller appends a suffix.
	Prefix string `json:"prefix"`
	// SubmissionID is a complete ID with a random suffix for one submission.
	SubmissionID string `json:"submissionID"`
}

func (e *Entry) handleSubmissionPrefix(ctx *fasthttp.RequestCtx) {
	p := e.submissionPrefix()
	httperr.WriteJSON(ctx, fasthttp.StatusOK, submissionPrefixResponse{Prefix: p, SubmissionID: p + uuid.NewString()})
}

func (e *Entry) handleSubmit(ctx *fasthttp.RequestCtx) {
	req, problem := e.decodeInTurn(ctx.PostBody())
	if problem != nil {
		httperr.Write(ctx, problem.status, problem.body)
		return
	}
	if req.SubmissionID == "" {
		req.SubmissionID = e.submissionPrefix() + uuid.NewString()
	}
	id, err := ident.ParseSubmissionID(req.SubmissionID)
	if err != nil {
		httperr.Write(ctx, fasthttp.StatusBadRequest, httperr.Body{Error: err.Error(), Field: "submissionID", NotRun: true})
		return
	}
	wait := !bytes.Equal(ctx.QueryArgs().Peek("wait"), []byte("false"))
	fwd := wire.ForwardRequest{Op: wire.ForwardSubmit, Submission: req.SubmissionID, Job: req, Wait: wait}
	e.answerRequest(ctx, id, &fwd)
}

func (e *Entry) handleGet(ctx *fasthttp.RequestCtx) {
	wait := bytes.Equal(ctx.QueryArgs().Peek("wait"), []byte("true"))
	e.answerIDRequest(ctx, wire.ForwardRequest{Op: wire.ForwardGet, Wait: wait})
}

func (e *Entry) handleCancel(ctx *fasthttp.RequestCtx) {
	e.answerIDRequest(ctx, wire.ForwardRequest{Op: wire.ForwardCancel})
}

func (e *Entry) answerIDRequest(ctx *fasthttp.RequestCtx, fwd wire.ForwardRequest) {
	text, _ := ctx.UserValue("id").(string)
	id, err := ident.ParseSubmissionID(text)
	if err != nil {
		httperr.Write(ctx, fasthttp.StatusBadRequest, httperr.Body{Error: err.Error(), Field: "submissionID"})
		return
	}
	fwd.Submission = text
	e.answerRequest(ctx, id, &fwd)
}

// answerRequest answers a request about a submission, or forwards the request if
// another process owns the submission.
func (e *Entry) answerRequest(ctx *fasthttp.RequestCtx, id ident.SubmissionID, fwd *wire.ForwardRequest) {
	if id.Owner == *e.core.self.Load() && id.Window > e.core.window.Load() {
		httperr.Write(ctx, fasthttp.StatusBadRequest, httperr.Body{
			Error: "the submission ID names a window that has not begun", Field: "submissionID", NotRun: true,
		})
		return
	}
	var a jobapi.JobAnswer
	switch {
	case !e.owns(id.Owner):
		a = e.forward(e.ctx, id, fwd)
	case fwd.Op == wire.ForwardSubmit:
		a = e.submitLocal(e.ctx, id, fwd.Job, fwd.Wait)
	case fwd.Op == wire.ForwardCancel:
		a = e.cancelLocal(id)
	default:
		a = e.getLocal(e.ctx, id, fwd.Wait)
	}
	if e.ctx.Err() != nil {
		closeWithoutResponse(ctx)
		return
	}
	if a.RetryAfterMs > 0 {
		seconds := (a.RetryAfterMs + 999) / 1000
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	httperr.WriteJSON(ctx, statusOf(a), a)
}

// closeWithoutResponse closes the connection without a response. An instance that
// was killed sends no response, because the caller would take it as final, while
// another instance can still recover the outcome of the job.
func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// problem is an error in a submission. No task of the job has run.
type problem struct {
	status int
	body   httperr.Body
}

func invalidJob(status int, field, format string, args ...any) *problem {
	return &problem{status: status, body: httperr.Body{Error: fmt.Sprintf(format, args...), Field: field, NotRun: true}}
}

// largeBodyBytes is the size of a body above which requests are decoded one at a time. Decoding
// takes a multiple of a body's size, and is bound by the processor.
const largeBodyBytes = 256 << 10

// decodeInTurn decodes the body of POST /v1/jobs.
func (e *Entry) decodeInTurn(body []byte) (*jobapi.JobRequest, *problem) {
	if len(body) > largeBodyBytes {
		e.decodingLargeBody.Lock()
		defer e.decodingLargeBody.Unlock()
	}
	return decodeJob(body)
}

// decodeJob decodes and checks the body of POST /v1/jobs.
func decodeJob(body []byte) (*jobapi.JobRequest, *problem) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var req jobapi.JobRequest
	if err := dec.Decode(&req); err != nil {
		var typeErr *json.UnmarshalTypeError
		var tooLong *jsonlist.TooLongError
		switch {
		case errors.As(err, &typeErr):
			return nil, invalidJob(fasthttp.StatusBadRequest, typeErr.Field, "wrong type: %v", err)
		case errors.As(err, &tooLong):
			return nil, invalidJob(fasthttp.StatusUnprocessableEntity, "tasks", "a job has 1 to %d tasks, got %d", jobapi.MaxTasks, tooLong.Length)
		}
		return nil, invalidJob(fasthttp.StatusBadRequest, "", "malformed JSON: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, invalidJob(fasthttp.StatusBadRequest, "", "malformed JSON: data after the object")
	}
	switch n := len(req.Tasks); {
	case n == 0:
		return nil, invalidJob(fasthttp.StatusUnprocessableEntity, "tasks", "a job has 1 to %d tasks, got 0", jobapi.MaxTasks)
	case req.Team == "":
		return nil, invalidJob(fasthttp.StatusUnprocessableEntity, "team", "team is empty")
	case req.Kind == "":
		return nil, invalidJob(fasthttp.StatusUnprocessableEntity, "kind", "kind is empty")
	case req.DeadlineMs < 0:
		return nil, invalidJob(fasthttp.StatusUnprocessableEntity, "deadlineMs", "deadlineMs is %d, allowed 0 or more", req.DeadlineMs)
	}
	for i, t := range req.Tasks {
		if t.RunMs < 0 || t.Size.CPUs < 0 || t.Size.MemoryMB < 0 || t.Size.Accelerators < 0 {
			return nil, invalidJob(fasthttp.StatusUnprocessableEntity, fmt.Sprintf("tasks[%d]", i), "sizes and run times must not be negative")
		}
	}
	return &req, nil
}

func (e *Entry) handleHealth(ctx *fasthttp.RequestCtx) {
	switch {
	case e.core.draining.Load():
		httperr.Write(ctx, fasthttp.StatusServiceUnavailable, httperr.Body{Error: "draining"})
	case e.configSource.Document() == nil:
		httperr.Write(ctx, fasthttp.StatusServiceUnavailable, httperr.Body{Error: "no configuration yet"})
	default:
		ctx.SetStatusCode(fasthttp.StatusOK)
		ctx.SetBodyString("{\"ok\":true}\n")
	}
}
