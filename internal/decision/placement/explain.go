package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/estimate"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Bounds of an Explanation.
const (
	maxExplainedSteps      = 8
	maxExplainedCandidates = 16 // per step
	maxExplainedExclusions = 16 // per step
)

// Explanation tells where the first task of each step of a job could run.
type Explanation struct {
	// Steps holds the first steps of the job, and OmittedSteps is the number of the others.
	Steps        []StepExplanation
	OmittedSteps int
}

// StepExplanation tells where a task of a step could run.
type StepExplanation struct {
	// Candidates are the workers with the earliest expected ends, the earliest first, and
	// OmittedCandidates is the number of the others.
	Candidates        []Candidate
	OmittedCandidates int
	// Excluded holds some of the workers that can't get the task, and Exclusions their number
	// by reason.
	Excluded   []Excluded
	Exclusions map[Exclusion]int
}

// Candidate is a worker that could run a task. Its times are from now on.
type Candidate struct {
	Worker, Sidecar, Rack, Zone string
	// Wait is the expected wait for free capacity, RunTime the expected run time, and End their sum.
	Wait, RunTime, End time.Duration
	// LastChoice is true if the worker is suspect or on probation.
	LastChoice bool
}

// Excluded is a worker that can't get a task.
type Excluded struct {
	Worker, Sidecar string
	Reason          Exclusion
}

// Exclusion is the reason for which a worker can't get a task.
type Exclusion string

// Reasons.
const (
	ExcludedOutOfContact  Exclusion = "out of contact"
	ExcludedUnresponsive  Exclusion = "its sidecar does not answer"
	ExcludedClosed        Exclusion = "accepts no runs"
	ExcludedEvacuated     Exclusion = "its zone is under evacuation"
	ExcludedUndescribed   Exclusion = "its newest description has not come"
	ExcludedNeed          Exclusion = "too small for the task"
	ExcludedRequiredLabel Exclusion = "lacks the required label"
)

// Explain tells where the tasks of a job could run if it was submitted now, for workers known to
// this entry instance. It changes nothing and uses no random numbers.
func (m *Machine) Explain(spec *work.Job) Explanation {
	calibration := m.calibrations[spec.Queue]
	if calibration == nil {
		calibration = &estimate.Calibration{}
	}
	var e Explanation
	for i := range spec.Steps {
		if i == maxExplainedSteps {
			e.OmittedSteps = len(spec.Steps) - i
			break
		}
		e.Steps = append(e.Steps, m.explainStep(spec, &spec.Steps[i], calibration.Predict(spec.Steps[i].Estimate)))
	}
	return e
}

func (m *Machine) explainStep(spec *work.Job, step *work.Step, runTime time.Duration) StepExplanation {
	e := StepExplanation{Exclusions: map[Exclusion]int{}}
	p := m.pools[spec.Service]
	if p == nil {
		return e
	}
	for _, w := range p.workers {
		name, sidecar := w.info.Worker, w.info.Sidecar.Process.String()
		if reason := w.exclusion(step); reason != "" {
			e.Exclusions[reason]++
			if len(e.Excluded) < maxExplainedExclusions {
				e.Excluded = append(e.Excluded, Excluded{name, sidecar, reason})
			}
			continue
		}
		c := Candidate{
			Worker: name, Sidecar: sidecar, Rack: w.info.Rack, Zone: w.info.Sidecar.Zone, LastChoice: w.load.Suspect || w.load.Probe,
			Wait: w.estimateWait(step.Need, spec.Rank), RunTime: m.estimateRunTime(w, step, runTime),
		}
		c.End = c.Wait + c.RunTime
		e.Candidates = append(e.Candidates, c)
	}
	slices.SortStableFunc(e.Candidates, func(a, b Candidate) int { return cmp.Or(cmp.Compare(a.End, b.End), cmp.Compare(a.Sidecar, b.Sidecar)) })
	e.OmittedCandidates = max(len(e.Candidates)-maxExplainedCandidates, 0)
	e.Candidates = slices.Clip(e.Candidates[:len(e.Candidates)-e.OmittedCandidates])
	return e
}

// exclusion returns the reason for which the worker can't get a task of a step, empty if it can.
func (w *worker) exclusion(step *work.Step) Exclusion {
	switch {
	case w.unreachable:
		return ExcludedOutOfContact
	case w.unresponsive:
		return ExcludedUnresponsive
	case !w.load.AcceptsRuns:
		return ExcludedClosed
	case w.evacuated:
		return ExcludedEvacuated
	case !w.usable():
		return ExcludedUndescribed
	case !step.Need.FitsIn(w.load.Capacity):
		return ExcludedNeed
	case step.RequiredLabel != "" && !hasLabel(w, step.RequiredLabel):
		return ExcludedRequiredLabel
	}
	return ""
}
