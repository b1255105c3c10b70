// Package apidoc parses the examples in docs/API.md and runs them against a
// server, to detect any difference between the page and the program.
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

// AnyValue is the string that matches any value in an expected response.
const AnyValue = "<any>"

// exampleTimeout bounds the duration of one example.
const exampleTimeout = 10 * time.Second

// API identifies the API that an example calls.
type API string

// APIs with examples.
const (
	Caller   API = "caller"
	Operator API = "operator"
)

// Example is a request with its expected response.
type Example struct {
	API    API
	Status int
	Title  string
	Method string
	// Path is the path of the request, including the query.
	Path string
	// Body and Response are JSON texts and may be empty. Path, Body and Response
	// may contain the variables ${prefix}, the submission prefix of the last
	// response that had one, and ${version}, the resourceVersion of the last
	// response that had one.
	Body     string
	Response string
}

var marker = regexp.MustCompile(`^<!-- example: (caller|operator) (\d{3}) (.+) -->$`)

// Parse parses the examples of a page. An example consists of a marker line such
// as "<!-- example: caller 200 a job -->", a fenced block with the request line,
// an empty line and the request body, and, if the response has a body, a second
// fenced block with that body. Errors satisfy errors.IsNotValid.
func Parse(page []byte) ([]Example, error) {
	var examples []Example
	lines := bufio.NewScanner(bytes.NewReader(page))
	// blocks is the number of finished blocks of the last example. At 2, the
	// example is complete, or no marker has been read.
	blocks, inBlock := 2, false
	for lines.Scan() {
		line := lines.Text()
		if m := marker.FindStringSubmatch(line); m != nil && !inBlock {
			status, _ := strconv.Atoi(m[2])
			examples = append(examples, Example{API: API(m[1]), Status: status, Title: m[3]})
			blocks = 0
			continue
		}
		if strings.HasPrefix(line, "```") {
			if inBlock {
				blocks++
			}
			inBlock = !inBlock
			continue
		}
		if !inBlock && line != "" && blocks > 0 {
			blocks = 2 // Text after a block ends the example.
		}
		if inBlock && blocks < 2 {
			examples[len(examples)-1].addLine(blocks, line)
		}
	}
	for i := range examples {
		if err := examples[i].check(); err != nil {
			return nil, errors.Annotatef(err, "example %q", examples[i].Title)
		}
	}
	return examples, errors.Trace(lines.Err())
}

func (e *Example) addLine(block int, line string) {
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
	placeholders := strings.NewReplacer("${prefix}", "e.1.1.", "${version}", "1")
	for _, text := range []string{e.Body, e.Response} {
		text = strings.TrimSpace(placeholders.Replace(text))
		if text != "" && !json.Valid([]byte(text)) {
			return errors.NotValidf("JSON %s", text)
		}
	}
	return nil
}

// Run sends the examples in order and compares the status and the body of each
// response. A response may have members that the page does not show.
func Run(examples []Example, addresses map[API]string) error {
	vars := map[string]string{}
	for _, e := range examples {
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
	req.SetRequestURI("http://" + address + expandVars(e.Path, vars))
	if body := strings.TrimSpace(e.Body); body != "" {
		req.Header.SetContentType("application/json")
		req.SetBodyString(expandVars(body, vars))
	}
	if err := fasthttp.DoTimeout(req, res, exampleTimeout); err != nil {
		return errors.Annotatef(err, "%s %s", e.Method, e.Path)
	}
	if res.StatusCode() != e.Status {
		return errors.Errorf("status %d, want %d: %s", res.StatusCode(), e.Status, res.Body())
	}
	if err := compareBody(expandVars(e.Response, vars), res.Body()); err != nil {
		return errors.Annotatef(err, "response %s", res.Body())
	}
	captureVars(res, vars)
	return nil
}

func expandVars(text string, vars map[string]string) string {
	for name, value := range vars {
		text = strings.ReplaceAll(text, "${"+name+"}", value)
	}
	return text
}

// captureVars sets the variables from a response.
func captureVars(res *fasthttp.Response, vars map[string]string) {
	if p := res.Header.Peek(jobapi.HeaderSubmissionPrefix); len(p) > 0 {
		vars["prefix"] = string(p)
	}
	type versioned struct {
		Metadata struct {
			ResourceVersion uint64 `json:"resourceVersion"`
		} `json:"metadata"`
	}
	// The response to an edit contains the resource in the member "object".
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

func compareBody(want string, got []byte) error {
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

// compare returns an error for the first difference between got and want. Members
// of got that want lacks are not differences.
func compare(path string, want, got any) error {
	if want == AnyValue {
		return nil
	}
	switch w := want.(type) {
	case map[string]any:
		g, ok := got.(map[string]any)
		if !ok {
			return errors.Errorf("%s is %v, want an object", path, got)
		}
		for name, v := range w {
			member, ok := g[name]
			if !ok {
				return errors.Errorf("%s.%s is missing", path, name)
			}
			if err := compare(path+"."+name, v, member); err != nil {
				return err
			}
		}
		return nil
	case []any:
		g, ok := got.([]any)
		if !ok || len(g) != len(w) {
			return errors.Errorf("%s is %v, want %d elements", path, got, len(w))
		}
		for i := range w {
			if err := compare(fmt.Sprintf("%s[%d]", path, i), w[i], g[i]); err != nil {
				return err
			}
		}
		return nil
	}
	if !reflect.DeepEqual(want, got) {
		return errors.Errorf("%s is %v, want %v", path, got, want)
	}
	return nil
}
