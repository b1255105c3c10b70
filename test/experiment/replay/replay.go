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

// Mismatch is a request whose final state in the replay differs from the recorded
// one.
type Mismatch struct {
	Request            string
	Recorded, Replayed jobapi.JobState
}

// Result is the outcome of a replay.
type Result struct {
	// Answers holds the final answers by request. A request has no answer if it was
	// not submitted because no entry instance was running, if the entry instance
	// that owns its submission ended before the answer, or if the replay ended first.
	Answers map[string]jobapi.JobAnswer
	// ResponseTimes holds the response times by request.
	ResponseTimes map[string]time.Duration
	// Starts counts the starts of each task.
	Starts map[wire.TaskKey]int
	// RecordedOutcomes is the number of outcomes in the trace, and Mismatches holds
	// the outcomes that differ in the replay.
	RecordedOutcomes int
	Mismatches       []Mismatch
	// UnsupportedFaults counts the faults that a replay can't apply, by action and
	// target.
	UnsupportedFaults map[string]int
	// Digest is a hash of the order, times and states of all answers.
	Digest uint64
}

// Run replays a trace. The same trace, seed and factories give the same result.
func Run(lines []load.TraceLine, seed uint64, factories MachineFactories) (*Result, error) {
	if len(lines) == 0 || lines[0].Header == nil {
		return nil, errors.NotValidf("trace without a header")
	}
	deployment, err := load.DeploymentByName(*lines[0].Header)
	if err != nil {
		return nil, errors.Trace(err)
	}
	arrivals, err := load.Arrivals(deployment, lines)
	if err != nil {
		return nil, errors.Trace(err)
	}
	sim := &simulator{
		deployment: deployment, factories: factories, seed: seed, document: deployment.Document(), jobs: map[string]load.Arrival{},
		result: &Result{
			Answers: map[string]jobapi.JobAnswer{}, ResponseTimes: map[string]time.Duration{},
			Starts: map[wire.TaskKey]int{}, UnsupportedFaults: map[string]int{},
		},
	}
	sim.startAll()
	for _, a := range arrivals {
		sim.schedule(a.At+deployment.ClientDelay, func() { sim.submit(a) })
	}
	for i, l := range lines {
		switch l.Type {
		case load.LineFault:
			sim.schedule(l.At(), func() { sim.applyFault(*l.Fault) })
		case load.LineEdit:
			doc, err := applyEdit(sim.document, *l.Edit)
			if err != nil {
				return nil, errors.Annotatef(err, "trace line %d", i+1)
			}
			sim.document = doc
			sim.schedule(l.At(), func() { sim.setDocument(doc) })
		}
	}
	sim.document = deployment.Document()
	sim.runUntil(lines[len(lines)-1].At() + drainTime)
	sim.compareOutcomes(lines)
	return sim.result, nil
}

// startAll starts all processes at time zero and schedules the periodic events.
func (sim *simulator) startAll() {
	for i := range sim.deployment.Workers {
		b := sim.deployment.Backend(i)
		sim.sidecars = append(sim.sidecars, &sidecar{index: i, backend: &b})
	}
	for i := range sim.deployment.Entries {
		sim.entries = append(sim.entries, &entry{index: i})
	}
	for _, s := range sim.sidecars {
		sim.startSidecar(s)
	}
	for _, e := range sim.entries {
		sim.startEntry(e)
	}
	sim.schedule(tickInterval, sim.tick)
	sim.schedule(heartbeatInterval, sim.heartbeat)
}

// runUntil runs the events up to a virtual time.
func (sim *simulator) runUntil(until time.Duration) {
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at > until {
			return
		}
		sim.now = e.at
		e.do()
	}
}

// tick calls Tick of all machines.
func (sim *simulator) tick() {
	for _, e := range sim.entries {
		if e.machine != nil {
			e.machine.Tick(sim.now)
		}
	}
	for _, s := range sim.sidecars {
		if s.machine != nil {
			s.machine.Tick(sim.now)
		}
	}
	sim.runActions()
	sim.schedule(sim.now+tickInterval, sim.tick)
}

// heartbeat exchanges grants and demand between each sidecar and each entry instance.
func (sim *simulator) heartbeat() {
	for _, s := range sim.sidecars {
		for _, e := range sim.entries {
			if s.machine != nil && e.machine != nil {
				sim.runSlotsAction(s, SlotsAction{Entry: e.peer.Process})
			}
		}
	}
	sim.schedule(sim.now+heartbeatInterval, sim.heartbeat)
}

// submit submits a job to its entry instance, or to the next one that is running.
func (sim *simulator) submit(job load.Arrival) {
	for n := range sim.entries {
		e := sim.entries[(job.EntryIndex+n)%len(sim.entries)]
		if e.machine == nil {
			continue
		}
		id := ident.SubmissionID{Owner: e.peer.Process, Window: submissionWindow, Suffix: job.Request}.String()
		sim.jobs[id] = job
		req := &jobapi.JobRequest{SubmissionID: id, Team: job.Team, Kind: job.Kind, Tasks: make([]jobapi.TaskRequest, len(job.RunTimes))}
		if answer := e.machine.Submit(sim.now, id, req); answer.State.Final() {
			answer.SubmissionID = id
			sim.recordAnswer(answer)
		}
		sim.runActions()
		return
	}
}

// recordAnswer records the first final answer to a request, and the response time
// including the delay until the answer reaches the caller.
func (sim *simulator) recordAnswer(a jobapi.JobAnswer) {
	job := sim.jobs[a.SubmissionID]
	if _, ok := sim.result.Answers[job.Request]; ok {
		return
	}
	sim.result.Answers[job.Request] = a
	sim.result.ResponseTimes[job.Request] = sim.now + sim.deployment.ClientDelay - job.At
	h := fnv.New64a()
	fmt.Fprintf(h, "%x %s %d %s", sim.result.Digest, job.Request, sim.now, a.State)
	sim.result.Digest = h.Sum64()
}

// compareOutcomes compares the final states in the replay with the recorded ones.
func (sim *simulator) compareOutcomes(lines []load.TraceLine) {
	for _, l := range lines {
		if l.Type != load.LineOutcome {
			continue
		}
		sim.result.RecordedOutcomes++
		if got := sim.result.Answers[l.Outcome.Request].State; got != l.Outcome.State {
			sim.result.Mismatches = append(sim.result.Mismatches, Mismatch{l.Outcome.Request, l.Outcome.State, got})
		}
	}
}

// WriteTable writes a summary as a table for human readers.
func (r *Result) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, "answers\t%d\nstated\t%d\nmismatches\t%d\nunsupported faults\t%d\ndigest\t%x\n",
		len(r.Answers), r.RecordedOutcomes, len(r.Mismatches), len(r.UnsupportedFaults), r.Digest)
	return errors.Trace(err)
}
