package history

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// modelTimeout bounds the search of the linearizability checker.
const modelTimeout = 20 * time.Second

// documentKey is the partition of commits of all resources.
const documentKey = ""

// anyRevision is the register's state at first, because resources may exist
// before the recording, and after an edit of unknown outcome.
const anyRevision = math.MaxUint64

// registerModel is a register of versions: accepted edits are conditional on
// the current version and only increase it, and conflicts name it.
func registerModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []interface{} { return []interface{}{uint64(anyRevision)} },
		Step: func(state, input, _ interface{}) []interface{} {
			return stepRegister(state.(uint64), input.(Commit))
		},
	}
	return m.ToModel()
}

func stepRegister(state uint64, c Commit) []interface{} {
	unsure := state == anyRevision
	switch c.Outcome {
	case Accepted:
		if c.Expect != 0 && !unsure && state != c.Expect {
			return nil
		}
		version := c.Version
		if version == 0 {
			version = c.Revision
		}
		// An edit that changes nothing keeps the version.
		kept := version == state && version < c.Revision
		if !unsure && version <= state && !kept {
			return nil
		}
		return []interface{}{version}
	case Conflict:
		// The response names the current version, which isn't the expected one.
		if c.Revision == c.Expect || !unsure && state != c.Revision {
			return nil
		}
		return []interface{}{c.Revision}
	default:
		return []interface{}{state, uint64(anyRevision)}
	}
}

// checkConfiguration checks P8.
func (c *checker) checkConfiguration() {
	c.checkRegister()
	c.checkObservations()
	c.checkLimits()
}

func (c *checker) checkRegister() {
	parts := map[string][]porcupine.Operation{}
	for _, m := range c.h.Commits {
		if m.Malformed != "" {
			c.fail("P8", "the response to an edit of %s lacks a revision or version: %.200q", m.Resource, m.Malformed)
			continue
		}
		if m.Outcome == Accepted && m.Version > m.Revision {
			c.fail("P8", "the response to the edit of %s in revision %d shows that of revision %d", m.Resource, m.Revision, m.Version)
		}
		op := porcupine.Operation{Input: m, Call: int64(m.Call), Return: int64(m.Return)}
		if m.Outcome == Unknown {
			op.Return = math.MaxInt64
		}
		parts[m.Resource] = append(parts[m.Resource], op)
		if m.Outcome == Accepted {
			m.Expect, m.Version = 0, 0
			op.Input = m
			parts[documentKey] = append(parts[documentKey], op)
		}
	}
	for name, ops := range parts {
		if r := porcupine.CheckOperationsTimeout(registerModel(), ops, modelTimeout); r != porcupine.Ok {
			c.fail("P8", "edits of %q are not those of a register that only moves forward (%s)", name, r)
		}
	}
}

// life is the time in which a process incarnation ran.
type life struct{ from, to time.Duration }

// checkObservations checks that no process goes back, and that each accepted
// edit is in force on every process that lived through the bound.
func (c *checker) checkObservations() {
	newest := map[string]uint64{}
	seen := map[string][]Event{}
	lives := map[string]life{}
	faulted := map[string][]time.Duration{}
	for _, e := range c.h.Events {
		switch e.Type {
		case Up:
			lives[e.Process] = life{e.At, c.h.Until}
			delete(newest, e.Process)
		case Down:
			lives[e.Process] = life{lives[e.Process].from, e.At}
		case Fault:
			faulted[e.Process] = append(faulted[e.Process], e.At)
		case Observe:
			if e.Revision < newest[e.Process] {
				c.fail("P8", "%s went back from revision %d to %d", e.Process, newest[e.Process], e.Revision)
			}
			newest[e.Process] = max(newest[e.Process], e.Revision)
			seen[e.Process] = append(seen[e.Process], e)
		}
	}
	for _, m := range c.h.Commits {
		limit := m.Return + c.bounds.InForce
		for p, l := range lives {
			if m.Outcome != Accepted || l.from > m.Return || l.to < limit || within(faulted[p], m.Return, limit) {
				continue
			}
			if !inForce(seen[p], m.Revision, limit) {
				c.fail("P8", "revision %d is not in force at %s after %v", m.Revision, p, c.bounds.InForce)
			}
		}
	}
}

func within(times []time.Duration, from, to time.Duration) bool {
	for _, t := range times {
		if t >= from && t <= to {
			return true
		}
	}
	return false
}

func inForce(seen []Event, revision uint64, limit time.Duration) bool {
	for _, e := range seen {
		if e.Revision >= revision && e.At <= limit {
			return true
		}
	}
	return false
}

// checkLimits checks that no accepted edit lowers a limit without the flag.
func (c *checker) checkLimits() {
	commits := append([]Commit(nil), c.h.Commits...)
	sort.SliceStable(commits, func(i, j int) bool { return commits[i].Revision < commits[j].Revision })
	last := map[string]int64{}
	floor := map[string]int64{} // lowest value of unknown edits that carry the flag
	for _, m := range commits {
		if m.Outcome == Unknown && m.AllowDecrease && m.Limit != nil {
			if v, ok := floor[m.Resource]; !ok || *m.Limit < v {
				floor[m.Resource] = *m.Limit
			}
		}
	}
	for _, m := range commits {
		if m.Outcome != Accepted || m.Limit == nil {
			continue
		}
		old, ok := last[m.Resource]
		if low, unsure := floor[m.Resource]; unsure {
			old = min(old, low)
		}
		if ok && *m.Limit < old && !m.AllowDecrease {
			c.fail("P8", "revision %d lowers limit %s from %d to %d without the flag", m.Revision, m.Resource, old, *m.Limit)
		}
		last[m.Resource] = *m.Limit
	}
}

// definite reports whether an answer states the outcome of every task, so
// that no later answer may differ.
func definite(a *jobapi.JobAnswer) bool {
	if a.State == jobapi.JobComplete || a.NotRun {
		return true
	}
	if a.State != jobapi.JobFailed || len(a.Tasks) == 0 {
		return false
	}
	for _, t := range a.Tasks {
		if t.State == jobapi.TaskMayHaveRun || !t.State.Final() {
			return false
		}
	}
	return true
}

// outcome is the comparable form of a definite answer.
func outcome(a *jobapi.JobAnswer) string {
	text := string(a.State)
	if a.NotRun {
		text = "notRun"
	}
	for _, t := range a.Tasks {
		if !a.NotRun {
			text += " " + string(t.State)
		}
	}
	return text
}

// submissionModel is a register that is set once: after a definite answer all
// definite answers are the same, and none says that the job is not finished.
// Answers of unknown outcome don't change it.
func submissionModel() porcupine.Model {
	return porcupine.Model{
		Init: func() interface{} { return "" },
		Step: func(state, _, output interface{}) (bool, interface{}) {
			a := output.(*jobapi.JobAnswer)
			if definite(a) {
				text := outcome(a)
				return state == "" || state == text, text
			}
			return a.State.Final() || state == "", state
		},
	}
}

func (c *checker) checkSubmissionModel() {
	parts := map[string][]porcupine.Operation{}
	for _, e := range c.h.Events {
		call, ok := c.calls[e.Call]
		if e.Type != Response || !ok || e.Answer == nil || e.Answer.Reason == jobapi.ReasonSubmissionConflict {
			continue
		}
		parts[call.Submission] = append(parts[call.Submission], porcupine.Operation{
			Output: e.Answer, Call: int64(call.At), Return: int64(e.At),
		})
	}
	for id, ops := range parts {
		if r := porcupine.CheckOperationsTimeout(submissionModel(), ops, modelTimeout); r != porcupine.Ok {
			c.fail("P2", "the answers about %s contradict each other (%s): %s", id, r, describe(ops))
		}
	}
}

// describe lists answers for the reader of a violation.
func describe(ops []porcupine.Operation) string {
	var parts []string
	for _, op := range ops {
		a := op.Output.(*jobapi.JobAnswer)
		text := fmt.Sprintf("%v-%v %s", time.Duration(op.Call).Round(time.Millisecond), time.Duration(op.Return).Round(time.Millisecond), a.State)
		if a.Reason != "" {
			text += " (" + string(a.Reason) + ")"
		}
		for _, t := range a.Tasks {
			text += " " + string(t.State)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, "; ")
}
