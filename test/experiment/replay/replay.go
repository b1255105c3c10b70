package replay

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

// Mismatch is a request whose replayed state differs from the stated one.
type Mismatch struct {
	Request          string
	Stated, Replayed jobapi.JobState
}

// Result is the outcome of a replay.
type Result struct {
	// Answers by request; a request whose owner died has none.
	Answers map[string]jobapi.JobAnswer
	// Responses are the response times by request.
	Responses map[string]time.Duration
	// Starts counts the starts of each task.
	Starts map[wire.TaskKey]int
	// Stated counts the outcomes of the trace, Mismatches those that differ.
	Stated     int
	Mismatches []Mismatch
	// Unsupported counts the faults that the driver can't replay, by action
	// and target.
	Unsupported map[string]int
	// Digest covers the order, times and states of all answers.
	Digest uint64
}

// Run replays a trace. The same trace, seed and machines give the same result.
func Run(lines []load.Line, seed uint64, m Machines) (*Result, error) {
	if len(lines) == 0 || lines[0].Header == nil {
		return nil, errors.NotValidf("trace without a header")
	}
	d, err := load.ByName(*lines[0].Header)
	if err != nil {
		return nil, errors.Trace(err)
	}
	arrivals, err := load.Arrivals(d, lines)
	if err != nil {
		return nil, errors.Trace(err)
	}
	v := &driver{
		d: d, m: m, seed: seed, doc: d.Document(), jobs: map[string]load.Arrival{},
		res: &Result{
			Answers: map[string]jobapi.JobAnswer{}, Responses: map[string]time.Duration{},
			Starts: map[wire.TaskKey]int{}, Unsupported: map[string]int{},
		},
	}
	v.boot()
	for _, a := range arrivals {
		v.at(a.At+d.ClientDelay, func() { v.submit(a) })
	}
	for i, l := range lines {
		switch l.Type {
		case load.LineFault:
			v.at(l.At(), func() { v.fault(*l.Fault) })
		case load.LineEdit:
			doc, err := applyEdit(v.doc, *l.Edit)
			if err != nil {
				return nil, errors.Annotatef(err, "trace line %d", i+1)
			}
			v.doc = doc
			v.at(l.At(), func() { v.setDocument(doc) })
		}
	}
	v.doc = d.Document()
	v.loop(lines[len(lines)-1].At() + tail)
	v.compare(lines)
	return v.res, nil
}

// boot makes all processes at time zero and starts the periodic events.
func (v *driver) boot() {
	for i := range v.d.Workers {
		b := v.d.Backend(i)
		v.sidecars = append(v.sidecars, &sidecar{index: i, backend: &b})
	}
	for i := range v.d.Entries {
		v.entries = append(v.entries, &entry{index: i})
	}
	for _, s := range v.sidecars {
		v.startSidecar(s)
	}
	for _, e := range v.entries {
		v.startEntry(e)
	}
	v.at(tickEvery, v.tick)
	v.at(beatEvery, v.beat)
}

func (v *driver) loop(until time.Duration) {
	for len(v.events) > 0 {
		e := heap.Pop(&v.events).(event)
		if e.at > until {
			return
		}
		v.now = e.at
		e.do()
	}
}

func (v *driver) tick() {
	for _, e := range v.entries {
		if e.machine != nil {
			e.machine.Tick(v.now)
		}
	}
	for _, s := range v.sidecars {
		if s.machine != nil {
			s.machine.Tick(v.now)
		}
	}
	v.pump()
	v.at(v.now+tickEvery, v.tick)
}

// beat exchanges grants and demand between all pairs.
func (v *driver) beat() {
	for _, s := range v.sidecars {
		for _, e := range v.entries {
			if s.machine != nil && e.machine != nil {
				v.slotsAction(s, SlotsAction{Entry: e.peer.Process})
			}
		}
	}
	v.at(v.now+beatEvery, v.beat)
}

// submit submits a job at its entry instance, or at the next one that is up.
func (v *driver) submit(a load.Arrival) {
	for n := range v.entries {
		e := v.entries[(a.Entry+n)%len(v.entries)]
		if e.machine == nil {
			continue
		}
		id := ident.SubmissionID{Owner: e.peer.Process, Window: window, Suffix: a.Request}.String()
		v.jobs[id] = a
		req := &jobapi.JobRequest{SubmissionID: id, Team: a.Team, Kind: a.Kind, Tasks: make([]jobapi.TaskRequest, len(a.Runs))}
		if answer := e.machine.Submit(v.now, id, req); answer.State.Final() {
			answer.SubmissionID = id
			v.answered(answer)
		}
		v.pump()
		return
	}
}

// answered records a final answer at the time at which it reaches the caller.
func (v *driver) answered(a jobapi.JobAnswer) {
	job := v.jobs[a.SubmissionID]
	if _, ok := v.res.Answers[job.Request]; ok {
		return
	}
	v.res.Answers[job.Request] = a
	v.res.Responses[job.Request] = v.now + v.d.ClientDelay - job.At
	h := fnv.New64a()
	fmt.Fprintf(h, "%x %s %d %s", v.res.Digest, job.Request, v.now, a.State)
	v.res.Digest = h.Sum64()
}

// compare compares the replayed states with the stated ones.
func (v *driver) compare(lines []load.Line) {
	for _, l := range lines {
		if l.Type != load.LineOutcome {
			continue
		}
		v.res.Stated++
		if got := v.res.Answers[l.Outcome.Request].State; got != l.Outcome.State {
			v.res.Mismatches = append(v.res.Mismatches, Mismatch{l.Outcome.Request, l.Outcome.State, got})
		}
	}
}

// WriteTable writes a summary for people.
func (r *Result) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, "answers\t%d\nstated\t%d\nmismatches\t%d\nunsupported faults\t%d\ndigest\t%x\n",
		len(r.Answers), r.Stated, len(r.Mismatches), len(r.Unsupported), r.Digest)
	return errors.Trace(err)
}
