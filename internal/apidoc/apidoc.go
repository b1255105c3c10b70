// Package apidoc reads the examples of docs/API.md and runs them against a
// server, so that the page can't differ from the program.
package apidoc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// Any is the string in an expected response that stands for any value.
const Any = "<any>"

// timeout bounds one example.
const timeout = 10 * time.Second

// API names one of the two APIs.
type API string

// The two APIs.
const (
	Caller   API = "caller"
	Operator API = "operator"
)

// Example is one request with its response.
type Example struct {
	API    API
	Status int
	Title  string
	Method string
	// Path includes the query.
	Path string
	// Body and Response are JSON texts, possibly empty. All texts may contain
	// ${prefix}, the submission prefix of the last response, and ${version},
	// the resourceVersion in the last response that had one.
	Body     string
	Response string
}

var marker = regexp.MustCompile(`^<!-- example: (caller|operator) (\d{3}) (.+) -->$`)

// Parse reads the examples of a page: a marker line such as
// "<!-- example: caller 200 a job -->", a fenced block with the request line,
// an empty line and the body, and for responses with a body a fenced block
// with it. Errors satisfy errors.IsNotValid.
func Parse(page []byte) ([]Example, error) {
	var all []Example
	lines := bufio.NewScanner(bytes.NewReader(page))
	blocks, inside := 2, false // blocks counts those since the marker
	for lines.Scan() {
		line := lines.Text()
		if m := marker.FindStringSubmatch(line); m != nil && !inside {
			status, _ := strconv.Atoi(m[2])
			all = append(all, Example{API: API(m[1]), Status: status, Title: m[3]})
			blocks = 0
			continue
		}
		if strings.HasPrefix(line, "```") {
			if inside {
				blocks++
			}
			inside = !inside
			continue
		}
		if !inside && line != "" && blocks > 0 {
			blocks = 2 // other text ends the example
		}
		if inside && blocks < 2 {
			all[len(all)-1].add(blocks, line)
		}
	}
	for i := range all {
		if err := all[i].check(); err != nil {
			return nil, errors.Annotatef(err, "example %q", all[i].Title)
		}
	}
	return all, errors.Trace(lines.Err())
}

func (e *Example) add(block int, line string) {
	switch {
	case block == 1:
		e.Response += line + "\n"
	case e.Method == "":
		e.Method, e.Path, _ = strings.Cut(line, " ")
	default:
		e.Body += line + "\n"
	}
}

func (e *Example) check() error {
	if e.Method == "" || !strings.HasPrefix(e.Path, "/") {
		return errors.NotValidf("request line %q", e.Method+" "+e.Path)
	}
	fill := strings.NewReplacer("${prefix}", "e.1.1.", "${version}", "1")
	for _, text := range []string{e.Body, e.Response} {
		text = strings.TrimSpace(fill.Replace(text))
		if text != "" && !json.Valid([]byte(text)) {
			return errors.NotValidf("JSON %s", text)
		}
	}
	return nil
}

// Run sends the examples in order and compares status and body. Members that
// the page does not show are allowed.
func Run(all []Example, addresses map[API]string) error {
	vars := map[string]string{}
	for _, e := range all {
		if err := e.run(addresses[e.API], vars); err != nil {
			return errors.Annotatef(err, "example %q", e.Title)
		}
	}
	return nil
}

func (e Example) run(address string, vars map[string]string) error {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(e.Method)
	req.SetRequestURI("http://" + address + fill(e.Path, vars))
	if body := strings.TrimSpace(e.Body); body != "" {
		req.Header.SetContentType("application/json")
		req.SetBodyString(fill(body, vars))
	}
	if err := fasthttp.DoTimeout(req, res, timeout); err != nil {
		return errors.Annotatef(err, "%s %s", e.Method, e.Path)
	}
	if res.StatusCode() != e.Status {
		return errors.Errorf("status %d, want %d: %s", res.StatusCode(), e.Status, res.Body())
	}
	if err := compareText(fill(e.Response, vars), res.Body()); err != nil {
		return errors.Annotatef(err, "response %s", res.Body())
	}
	remember(res, vars)
	return nil
}

func fill(text string, vars map[string]string) string {
	for name, value := range vars {
		text = strings.ReplaceAll(text, "${"+name+"}", value)
	}
	return text
}

func remember(res *fasthttp.Response, vars map[string]string) {
	if p := res.Header.Peek(jobapi.HeaderSubmissionPrefix); len(p) > 0 {
		vars["prefix"] = string(p)
	}
	type versioned struct {
		Metadata struct {
			ResourceVersion uint64 `json:"resourceVersion"`
		} `json:"metadata"`
	}
	// The answer to an edit has the resource in the member object.
	var o struct {
		versioned
		Object versioned `json:"object"`
	}
	if json.Unmarshal(res.Body(), &o) != nil {
		return
	}
	if v := max(o.Metadata.ResourceVersion, o.Object.Metadata.ResourceVersion); v != 0 {
		vars["version"] = strconv.FormatUint(v, 10)
	}
}

func compareText(want string, got []byte) error {
	if strings.TrimSpace(want) == "" {
		return nil
	}
	var w, g any
	if err := json.Unmarshal([]byte(want), &w); err != nil {
		return errors.Annotate(err, "expected response")
	}
	if err := json.Unmarshal(got, &g); err != nil {
		return errors.Annotate(err, "decoding the response")
	}
	return compare("body", w, g)
}

// compare reports the first difference of got from want.
func compare(at string, want, got any) error {
	if want == Any {
		return nil
	}
	switch w := want.(type) {
	case map[string]any:
		g, ok := got.(map[string]any)
		if !ok {
			return errors.Errorf("%s is %v, want an object", at, got)
		}
		for name, v := range w {
			member, ok := g[name]
			if !ok {
				return errors.Errorf("%s.%s is missing", at, name)
			}
			if err := compare(at+"."+name, v, member); err != nil {
				return err
			}
		}
		return nil
	case []any:
		g, ok := got.([]any)
		if !ok || len(g) != len(w) {
			return errors.Errorf("%s is %v, want %d elements", at, got, len(w))
		}
		for i := range w {
			if err := compare(fmt.Sprintf("%s[%d]", at, i), w[i], g[i]); err != nil {
				return err
			}
		}
		return nil
	}
	if !reflect.DeepEqual(want, got) {
		return errors.Errorf("%s is %v, want %v", at, got, want)
	}
	return nil
}
