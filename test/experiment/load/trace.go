package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// TraceFormat is the version of the trace format.
const TraceFormat = 1

const (
	// maxTraceLine bounds a line in bytes.
	maxTraceLine = 1 << 20
	// maxTraceTime bounds the times of a trace.
	maxTraceTime = 24 * time.Hour
)

// LineType is the type of a trace line.
type LineType string

// Line types.
const (
	LineHeader  LineType = "header"
	LineArrival LineType = "arrival"
	LineFault   LineType = "fault"
	LineEdit    LineType = "edit"
	LineOutcome LineType = "outcome"
)

// Header is the first line of a trace.
type Header struct {
	Format     int    `json:"format"`
	Name       string `json:"name"`
	Seed       uint64 `json:"seed"`
	Deployment string `json:"deployment"`
	// FloodUrgency is the urgency of the flood kind of the torno deployment.
	FloodUrgency string `json:"floodUrgency,omitempty"`
}

// Job is an arrival.
type Job struct {
	Request string  `json:"request"`
	Team    string  `json:"team"`
	Kind    string  `json:"kind"`
	Entry   int     `json:"entry,omitempty"`
	RunsUs  []int64 `json:"runsUs"`
	Flood   bool    `json:"flood,omitempty"`
}

// Fault is an injected fault or its end.
type Fault struct {
	Action string `json:"action"`
	// Target is "entry", "sidecar", "backend" or "store", with an index for all
	// but the store.
	Target string `json:"target"`
	Index  int    `json:"index,omitempty"`
}

// Edit is an operator's edit.
type Edit struct {
	Type          string          `json:"type"`
	Name          string          `json:"name"`
	Spec          json.RawMessage `json:"spec"`
	AllowDecrease bool            `json:"allowDecrease,omitempty"`
}

// Stated is the final answer to a request.
type Stated struct {
	Request string          `json:"request"`
	State   jobapi.JobState `json:"state"`
	NotRun  bool            `json:"notRun,omitempty"`
	Reason  jobapi.Reason   `json:"reason,omitempty"`
	// Completed is the number of completed tasks.
	Completed int `json:"completed,omitempty"`
}

// Line is one line of a trace; exactly the field named by Type is set.
type Line struct {
	AtUs    int64    `json:"atUs"`
	Type    LineType `json:"type"`
	Header  *Header  `json:"header,omitempty"`
	Arrival *Job     `json:"arrival,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
	Edit    *Edit    `json:"edit,omitempty"`
	Outcome *Stated  `json:"outcome,omitempty"`
}

// At is the time of the line.
func (l Line) At() time.Duration { return time.Duration(l.AtUs) * time.Microsecond }

// validate checks one line; errors satisfy errors.IsNotValid.
func (l Line) validate(first bool) error {
	set := map[LineType]bool{
		LineHeader: l.Header != nil, LineArrival: l.Arrival != nil, LineFault: l.Fault != nil,
		LineEdit: l.Edit != nil, LineOutcome: l.Outcome != nil,
	}
	for t, present := range set {
		if present != (t == l.Type) {
			return errors.NotValidf("line of type %q with field %q set: %v;", l.Type, t, present)
		}
	}
	if _, ok := set[l.Type]; !ok {
		return errors.NotValidf("line type %q", l.Type)
	}
	if first != (l.Type == LineHeader) {
		return errors.NotValidf("line of type %q (first line %v)", l.Type, first)
	}
	if l.AtUs < 0 || l.AtUs > maxTraceTime.Microseconds() {
		return errors.NotValidf("time %d", l.AtUs)
	}
	if first && l.Header.Format != TraceFormat {
		return errors.NotValidf("trace format %d", l.Header.Format)
	}
	if l.Type == LineArrival {
		return l.Arrival.validate()
	}
	return nil
}

func (j *Job) validate() error {
	if n := len(j.RunsUs); n < 1 || n > jobapi.MaxTasks {
		return errors.NotValidf("job with %d tasks", n)
	}
	for _, r := range j.RunsUs {
		if r < 0 || r > maxTraceTime.Microseconds() {
			return errors.NotValidf("run time %d", r)
		}
	}
	if j.Entry < 0 {
		return errors.NotValidf("entry instance %d", j.Entry)
	}
	return nil
}

// ReadTrace reads a trace. The lines after the header must be ordered by
// time. Errors name the line; invalid content satisfies errors.IsNotValid.
func ReadTrace(r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxTraceLine)
	var lines []Line
	for s.Scan() {
		line, err := parseLine(s.Bytes(), len(lines) == 0)
		if err != nil {
			return nil, errors.Annotatef(err, "trace line %d", len(lines)+1)
		}
		if n := len(lines); n > 0 && line.AtUs < lines[n-1].AtUs {
			return nil, errors.NotValidf("trace line %d: time goes back", n+1)
		}
		lines = append(lines, line)
	}
	if err := s.Err(); err != nil {
		return nil, errors.Annotatef(err, "read trace line %d", len(lines)+1)
	}
	if len(lines) == 0 {
		return nil, errors.NotValidf("empty trace")
	}
	return lines, nil
}

func parseLine(text []byte, first bool) (Line, error) {
	var l Line
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return l, errors.NewNotValid(err, "JSON")
	}
	if _, err := dec.Token(); err != io.EOF {
		return l, errors.NotValidf("text after the object")
	}
	return l, errors.Trace(l.validate(first))
}

// WriteTrace writes lines that ReadTrace accepts.
func WriteTrace(w io.Writer, lines []Line) error {
	buf := bufio.NewWriter(w)
	enc := json.NewEncoder(buf)
	for i, l := range lines {
		if err := l.validate(i == 0); err != nil {
			return errors.Annotatef(err, "trace line %d", i+1)
		}
		if err := enc.Encode(l); err != nil {
			return errors.Annotatef(err, "write trace line %d", i+1)
		}
	}
	return errors.Annotate(buf.Flush(), "write trace")
}

// ArrivalLine converts an arrival to a trace line.
func ArrivalLine(a Arrival) Line {
	j := &Job{Request: a.Request, Team: a.Team, Kind: a.Kind, Entry: a.Entry, Flood: a.Flood}
	for _, r := range a.Runs {
		j.RunsUs = append(j.RunsUs, r.Microseconds())
	}
	return Line{AtUs: a.At.Microseconds(), Type: LineArrival, Arrival: j}
}

// Arrivals returns the arrivals of a trace for a deployment.
func Arrivals(d Deployment, lines []Line) ([]Arrival, error) {
	known := d.Document()
	var list []Arrival
	for i, l := range lines {
		if l.Type != LineArrival {
			continue
		}
		j := l.Arrival
		if known.Kinds[j.Kind] == nil || known.Teams[j.Team] == nil || j.Entry >= d.Entries {
			return nil, errors.NotValidf("trace line %d: kind, team or entry instance for deployment %s", i+1, d.Name)
		}
		a := Arrival{At: l.At(), Request: j.Request, Team: j.Team, Kind: j.Kind, Entry: j.Entry, Flood: j.Flood}
		for _, r := range j.RunsUs {
			a.Runs = append(a.Runs, time.Duration(r)*time.Microsecond)
		}
		list = append(list, a)
	}
	return list, nil
}

// ByName returns the deployment that a header names.
func ByName(h Header) (Deployment, error) {
	switch h.Deployment {
	case "torno":
		urgency := h.FloodUrgency
		if urgency == "" {
			urgency = "low"
		}
		d := Torno(urgency)
		if d.Document().Urgencies[urgency] == nil {
			return Deployment{}, errors.NotValidf("urgency %q", urgency)
		}
		return d, nil
	case "safari":
		return Safari(), nil
	}
	return Deployment{}, errors.NotFoundf("deployment %s", fmt.Sprintf("%.100q", h.Deployment))
}
