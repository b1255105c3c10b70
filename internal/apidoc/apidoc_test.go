package apidoc

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// Guards against examples on the page whose request bodies have members that the
// APIs do not define.
func TestPageRequestsDecode(t *testing.T) {
	page, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	examples, err := Parse(page)
	if err != nil || len(examples) != strings.Count(string(page), "<!-- example:") || len(examples) < 14 {
		t.Fatalf("%d examples, %v", len(examples), err)
	}
	for _, e := range examples {
		if e.Body == "" {
			continue
		}
		var into any = new(jobapi.JobRequest)
		if e.API == Operator {
			into = new(resource.Limit)
			if strings.HasPrefix(e.Path, "/v1/teams/") {
				into = new(resource.Team)
			}
		}
		dec := json.NewDecoder(bytes.NewReader([]byte(expandVars(e.Body, map[string]string{"version": "1"}))))
		dec.DisallowUnknownFields()
		if err := dec.Decode(into); err != nil {
			t.Errorf("%s: %v", e.Title, err)
		}
	}
}

// Guards against a Run that does not detect a difference in a response.
func TestRunFindsDifferences(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(jobapi.HeaderSubmissionPrefix, "e.1.1.")
		ctx.SetBodyString(`{"path":"` + string(ctx.Path()) + `","list":[1,2],"more":true}`)
	}}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	addresses := map[API]string{Caller: l.Addr().String()}
	first := Example{API: Caller, Status: 200, Method: "GET", Path: "/a"}
	for response, ok := range map[string]bool{
		`{"path":"/e.1.1.x","list":[1,"<any>"]}`: true,
		`{"path":"/${prefix}x"}`:                 true,
		`{"path":"/other"}`:                      false,
		`{"list":[1]}`:                           false,
		`{"list":[2,2]}`:                         false,
		`{"absent":"<any>"}`:                     false,
	} {
		e := Example{API: Caller, Status: 200, Method: "GET", Path: "/${prefix}x", Response: response}
		if err := Run([]Example{first, e}, addresses); (err == nil) != ok {
			t.Errorf("%s: %v", response, err)
		}
	}
	first.Status = 202
	if Run([]Example{first}, addresses) == nil {
		t.Error("Run accepted an unexpected status")
	}
}
