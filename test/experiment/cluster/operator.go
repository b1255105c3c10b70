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
	// ExpectedVersion is the resource version on which the edit is conditional;
	// zero for an unconditional edit.
	ExpectedVersion uint64
	AllowDecrease   bool
	// Limit is the limit's value, for the check of the history; nil if the
	// resource is no limit.
	Limit *int64
}

// Operator edits resources through the Resource API of the entry instances.
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

// errRefused means that an edit has no effect, because it was refused for a reason
// other than its version or because the connection was refused.
const errRefused = errors.ConstError("edit refused")

// resourceObject holds the fields that all resources share.
type resourceObject struct {
	Metadata resource.Metadata `json:"metadata"`
	Spec     json.RawMessage   `json:"spec,omitempty"`
}

// acceptedResponse is the response body for an accepted edit.
type acceptedResponse struct {
	Revision uint64         `json:"revision"`
	Object   resourceObject `json:"object"`
}

// conflictResponse is the response body for an edit whose expected version is not
// the current one.
type conflictResponse struct {
	Current *uint64 `json:"current"`
}

// Apply sends an edit to the operator address of an entry instance and returns
// the recorded edit. If the instance refuses the edit as unavailable or invalid,
// or refuses the connection, Apply returns an error and records nothing, because
// the edit has no effect.
func (o *Operator) Apply(address string, e Edit) (history.Edit, error) {
	record := history.Edit{
		Call: o.rec.Now(), Resource: fmt.Sprintf("%s/%s", e.Type, e.Name),
		ExpectedVersion: e.ExpectedVersion, Limit: e.Limit, AllowDecrease: e.AllowDecrease,
	}
	spec, err := json.Marshal(e.Spec)
	if err != nil {
		return record, errors.Trace(err)
	}
	body, err := json.Marshal(resourceObject{Metadata: resource.Metadata{Name: e.Name, ResourceVersion: e.ExpectedVersion}, Spec: spec})
	if err != nil {
		return record, errors.Trace(err)
	}
	path := "/v1/" + record.Resource
	if e.AllowDecrease {
		path += "?allowDecrease=true"
	}
	status, answer, err := o.exchange(address, fasthttp.MethodPut, path, body)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return record, errors.Annotatef(errRefused, "%s at %s: %v", path, address, err)
	case err == nil && status/100 == 2:
		var response acceptedResponse
		if err := json.Unmarshal(answer, &response); err != nil || response.Revision == 0 {
			record.Malformed = string(answer)
		}
		record.Outcome, record.Revision, record.Version = history.Accepted, response.Revision, response.Object.Metadata.ResourceVersion
	case err == nil && status == fasthttp.StatusConflict:
		var response conflictResponse
		if err := json.Unmarshal(answer, &response); err != nil || response.Current == nil {
			record.Malformed, response.Current = string(answer), new(uint64)
		}
		record.Outcome, record.Revision = history.Conflict, *response.Current
	case err == nil && (status == fasthttp.StatusServiceUnavailable || status/100 == 4):
		return record, errors.Annotatef(errRefused, "%s at %s: status %d", path, address, status)
	default:
		record.Outcome = history.Unknown
	}
	o.rec.AddEdit(record)
	return record, nil
}

// Version returns the current version of a resource.
func (o *Operator) Version(address string, t resource.Type, name string) (uint64, error) {
	path := fmt.Sprintf("/v1/%s/%s", t, name)
	status, answer, err := o.exchange(address, fasthttp.MethodGet, path, nil)
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Errorf("status %d", status)
	}
	var current resourceObject
	if err == nil {
		err = json.Unmarshal(answer, &current)
	}
	return current.Metadata.ResourceVersion, errors.Annotatef(err, "%s at %s", path, address)
}

// exchange sends a request and returns the status and the body of the response.
func (o *Operator) exchange(address, method, path string, body []byte) (int, []byte, error) {
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
