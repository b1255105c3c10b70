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
	// maxLineBytes is the maximum length of a trace line.
	maxLineBytes = 1 << 20
	// maxTime is the maximum of all times in a trace.
	maxTime = 24 * time.Hour
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

// TraceHeader is the content of the first line of a trace.
type TraceHeader struct {
	Format     int    `json:"format"`
	Name       string `json:"name"`
	Seed       uint64 `json:"seed"`
	Deployment string `json:"deployment"`
	// FloodUrgency is the urgency of the flood kind in the torno deployment; low if
	// empty.
	FloodUrgency string `json:"floodUrgency,omitempty"`
}

// TraceJob is a job that a caller submitted. TraceLine.AtUs is its arrival time.
type TraceJob struct {
	Request    string  `json:"request"`
	Team       string  `json:"team"`
	Kind       string  `json:"kind"`
	Entry      int     `json:"entry,omitempty"`
	RunTimesUs []int64 `json:"runsUs"`
	Flood      bool    `json:"flood,omitempty"`
}

// TraceFault is an action that began or ended a fault.
type TraceFault struct {
	Action string `json:"action"`
	// Target is "entry", "sidecar", "backend" or "store". Index selects the process
	// if Target isn't the store.
	Target string `json:"target"`
	Index  int    `json:"index,omitempty"`
}

// TraceEdit is an operator's edit of one resource.
type TraceEdit struct {
	Type          string          `json:"type"`
	Name          string          `json:"name"`
	Spec          json.RawMessage `json:"spec"`
	AllowDecrease bool            `json:"allowDecrease,omitempty"`
}

// TraceOutcome is the final answer to a request.
type TraceOutcome struct {
	Request string          `json:"request"`
	State   jobapi.JobState `json:"state"`
	NotRun  bool            `json:"notRun,omitempty"`
	Reason  jobapi.Reason   `json:"reason,omitempty"`
	// Completed is the number of completed tasks.
	Completed int `json:"completed,omitempty"`
}

// TraceLine is one line of a trace. Of the fields after Type, exactly the one that
// Type names is set. AtUs is the time since the start of the load, in microseconds.
type TraceLine struct {
	AtUs    int64         `json:"atUs"`
	Type    LineType      `json:"type"`
	Header  *TraceHeader  `json:"header,omitempty"`
	Arrival *TraceJob     `json:"arrival,omitempty"`
	Fault   *TraceFault   `json:"fault,omitempty"`
	Edit    *TraceEdit    `json:"edit,omitempty"`
	Outcome *TraceOutcome `json:"outcome,omitempty"`
}

// At returns the time of the line since the start of the load.
func (l TraceLine) At() time.Duration { return time.Duration(l.AtUs) * time.Microsecond }

// validate checks the line; first means that it is the first one of the trace.
// Errors are of type errors.NotValid.
func (l TraceLine) validate(first bool) error {
	present := map[LineType]bool{
		LineHeader: l.Header != nil, LineArrival: l.Arrival != nil, LineFault: l.Fault != nil,
		LineEdit: l.Edit != nil, LineOutcome: l.Outcome != nil,
	}
	for t, isPresent := range present {
		if isPresent != (t == l.Type) {
			return errors.NotValidf("line of type %q (field %q set: %v)", l.Type, t, isPresent)
		}
	}
	if _, ok := present[l.Type]; !ok {
		return errors.NotValidf("line type %q", l.Type)
	}
	if first != (l.Type == LineHeader) {
		return errors.NotValidf("line of type %q (first line: %v)", l.Type, first)
	}
	if l.AtUs < 0 || l.AtUs > maxTime.Microseconds() {
		return errors.NotValidf("line time of %d microseconds", l.AtUs)
	}
	if first && l.Header.Format != TraceFormat {
		return errors.NotValidf("trace format %d", l.Header.Format)
	}
	if l.Type == LineArrival {
		return l.Arrival.validate()
	}
	return nil
}

// validate checks the job. Errors are of type errors.NotValid.
func (j *TraceJob) validate() error {
	if n := len(j.RunTimesUs); n < 1 || n > jobapi.MaxTasks {
		return errors.NotValidf("job with %d tasks", n)
	}
	for _, r := range j.RunTimesUs {
		if r < 0 || r > maxTime.Microseconds() {
			return errors.NotValidf("run time of %d microseconds", r)
		}
	}
	if j.Entry < 0 {
		return errors.NotValidf("entry instance index %d", j.Entry)
	}
	return nil
}

// ReadTrace reads a trace, whose lines must be ordered by time. Errors name the
// line. Errors about invalid content are of type errors.NotValid.
func ReadTrace(r io.Reader) ([]TraceLine, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	var lines []TraceLine
	for s.Scan() {
		line, err := parseLine(s.Bytes(), len(lines) == 0)
		if err != nil {
			return nil, errors.Annotatef(err, "trace line %d", len(lines)+1)
		}
		if n := len(lines); n > 0 && line.AtUs < lines[n-1].AtUs {
			return nil, errors.NotValidf("trace line %d: decreasing time", n+1)
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

// parseLine decodes and validates one line.
func parseLine(text []byte, first bool) (TraceLine, error) {
	var l TraceLine
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return l, errors.NewNotValid(err, "JSON")
	}
	if _, err := dec.Token(); err != io.EOF {
		return l, errors.NotValidf("text after the JSON object")
	}
	return l, errors.Trace(l.validate(first))
}

// WriteTrace writes a trace. It returns an error if a line is invalid, but doesn't
// check the order of the lines.
func WriteTrace(w io.Writer, lines []TraceLine) error {
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

// ArrivalLine returns the trace line for an arrival.
func ArrivalLine(a Arrival) TraceLine {
	j := &TraceJob{Request: a.Request, Team: a.Team, Kind: a.Kind, Entry: a.EntryIndex, Flood: a.Flood}
	for _, r := range a.RunTimes {
		j.RunTimesUs = append(j.RunTimesUs, r.Microseconds())
	}
	return TraceLine{AtUs: a.At.Microseconds(), Type: LineArrival, Arrival: j}
}

// Arrivals returns the arrivals in a trace. Each must name a kind, team and entry
// instance of the deployment.
func Arrivals(d Deployment, lines []TraceLine) ([]Arrival, error) {
	doc := d.Document()
	var arrivals []Arrival
	for i, l := range lines {
		if l.Type != LineArrival {
			continue
		}
		j := l.Arrival
		if doc.Kinds[j.Kind] == nil || doc.Teams[j.Team] == nil || j.Entry >= d.Entries {
			return nil, errors.NotValidf("trace line %d: kind, team or entry instance for deployment %s", i+1, d.Name)
		}
		a := Arrival{At: l.At(), Request: j.Request, Team: j.Team, Kind: j.Kind, EntryIndex: j.Entry, Flood: j.Flood}
		for _, r := range j.RunTimesUs {
			a.RunTimes = append(a.RunTimes, time.Duration(r)*time.Microsecond)
		}
		arrivals = append(arrivals, a)
	}
	return arrivals, nil
}

// DeploymentByName returns the deployment that a trace header names.
func DeploymentByName(h TraceHeader) (Deployment, error) {
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
