package cluster

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
)

const operatorTimeout = 5 * time.Second

// Edit is an operator's change of one resource.
type Edit struct {
	Type resource.Type
	Name string
	Spec any
	// Expect is the resource version that the edit is conditional on; zero
	// for an unconditional edit.
	Expect        uint64
	AllowDecrease bool
	// Limit is the value for the checker if the resource is a limit.
	Limit *int64
}

// Operator edits resources over the Resource API of the entry instances.
type Operator struct {
	rec    *history.Recorder
	client fasthttp.Client
}

// NewOperator returns an operator whose edits are recorded.
func NewOperator(rec *history.Recorder) *Operator {
	return &Operator{rec: rec, client: fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// errNoEffect means that an edit was refused for a reason other than its version.
const errNoEffect = errors.ConstError("edit refused")

// object is the common part of all resources.
type object struct {
	Metadata resource.Metadata `json:"metadata"`
	Spec     json.RawMessage   `json:"spec,omitempty"`
}

// accepted is the body of a successful edit.
type accepted struct {
	Revision uint64 `json:"revision"`
	Object   object `json:"object"`
}

// conflict is the body of an edit with another version than the current one.
type conflict struct {
	Current *uint64 `json:"current"`
}

// Apply sends an edit to the operator address of an entry instance and
// returns the recorded commit. An edit that was refused as unavailable or
// invalid is an error and not recorded, since it has no effect.
func (o *Operator) Apply(address string, e Edit) (history.Commit, error) {
	m := history.Commit{
		Call: o.rec.Now(), Resource: fmt.Sprintf("%s/%s", e.Type, e.Name),
		Expect: e.Expect, Limit: e.Limit, AllowDecrease: e.AllowDecrease,
	}
	spec, err := json.Marshal(e.Spec)
	if err != nil {
		return m, errors.Trace(err)
	}
	body, err := json.Marshal(object{Metadata: resource.Metadata{Name: e.Name, ResourceVersion: e.Expect}, Spec: spec})
	if err != nil {
		return m, errors.Trace(err)
	}
	path := "/v1/" + m.Resource
	if e.AllowDecrease {
		path += "?allowDecrease=true"
	}
	status, answer, err := o.do(address, fasthttp.MethodPut, path, body)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return m, errors.Annotatef(errNoEffect, "%s at %s: %v", path, address, err)
	case err == nil && status/100 == 2:
		var got accepted
		if err := json.Unmarshal(answer, &got); err != nil || got.Revision == 0 {
			m.Malformed = string(answer)
		}
		m.Outcome, m.Revision, m.Version = history.Accepted, got.Revision, got.Object.Metadata.ResourceVersion
	case err == nil && status == fasthttp.StatusConflict:
		var got conflict
		if err := json.Unmarshal(answer, &got); err != nil || got.Current == nil {
			m.Malformed, got.Current = string(answer), new(uint64)
		}
		m.Outcome, m.Revision = history.Conflict, *got.Current
	case err == nil && (status == fasthttp.StatusServiceUnavailable || status/100 == 4):
		return m, errors.Annotatef(errNoEffect, "%s at %s: status %d", path, address, status)
	default:
		m.Outcome = history.Unknown
	}
	o.rec.Commit(m)
	return m, nil
}

// Version returns the current version of a resource.
func (o *Operator) Version(address string, t resource.Type, name string) (uint64, error) {
	path := fmt.Sprintf("/v1/%s/%s", t, name)
	status, answer, err := o.do(address, fasthttp.MethodGet, path, nil)
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Errorf("status %d", status)
	}
	var got object
	if err == nil {
		err = json.Unmarshal(answer, &got)
	}
	return got.Metadata.ResourceVersion, errors.Annotatef(err, "%s at %s", path, address)
}

// do returns the status and the body of the response.
func (o *Operator) do(address, method, path string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := o.client.DoTimeout(req, resp, operatorTimeout); err != nil {
		return 0, nil, errors.Trace(err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
