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

// searchTimeout bounds the search of the linearizability checker for one partition.
const searchTimeout = 20 * time.Second

// documentPartition is the key of the partition that holds the accepted edits of
// all resources, checked by their document revisions.
const documentPartition = ""

// unknownVersion is the register's state while its version is unknown: at the
// start, because resources may be older than the recording, and after an edit of
// unknown outcome.
const unknownVersion = math.MaxUint64

// versionModel returns the model of a register that holds a version. The expected
// version of an accepted edit, if it has one, is the current version. An accepted
// edit never lowers the version, and a conflict names the current version.
func versionModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []interface{} { return []interface{}{uint64(unknownVersion)} },
		Step: func(state, input, _ interface{}) []interface{} {
			return stepVersion(state.(uint64), input.(Edit))
		},
	}
	return m.ToModel()
}

// stepVersion returns the possible states of the register after an edit, none if
// the response to the edit contradicts the state.
func stepVersion(state uint64, edit Edit) []interface{} {
	unknown := state == unknownVersion
	switch edit.Outcome {
	case Accepted:
		if edit.ExpectedVersion != 0 && !unknown && state != edit.ExpectedVersion {
			return nil
		}
		version := edit.Version
		if version == 0 {
			version = edit.Revision
		}
		// An edit that changes nothing keeps the version.
		unchanged := version == state && version < edit.Revision
		if !unknown && version <= state && !unchanged {
			return nil
		}
		return []interface{}{version}
	case Conflict:
		// The response names the current version, which isn't the expected one.
		if edit.Revision == edit.ExpectedVersion || !unknown && state != edit.Revision {
			return nil
		}
		return []interface{}{edit.Revision}
	default:
		return []interface{}{state, uint64(unknownVersion)}
	}
}

// checkConfiguration checks P8 for the versions in the responses to edits, the
// revisions in force and the values of limits.
func (c *checker) checkConfiguration() {
	c.checkEditVersions()
	c.checkObservations()
	c.checkLimits()
}

// checkEditVersions checks that the versions and revisions in the responses to
// edits are linearizable, for each resource and for the document.
func (c *checker) checkEditVersions() {
	partitions := map[string][]porcupine.Operation{}
	for _, edit := range c.history.Edits {
		if edit.Malformed != "" {
			c.fail("P8", "the response to an edit of %s lacks a revision or version: %.200q", edit.Resource, edit.Malformed)
			continue
		}
		if edit.Outcome == Accepted && edit.Version > edit.Revision {
			c.fail("P8", "the response to the edit of %s in revision %d shows the resource version %d of a later edit", edit.Resource, edit.Revision, edit.Version)
		}
		op := porcupine.Operation{Input: edit, Call: int64(edit.Call), Return: int64(edit.Return)}
		if edit.Outcome == Unknown {
			op.Return = math.MaxInt64
		}
		partitions[edit.Resource] = append(partitions[edit.Resource], op)
		if edit.Outcome == Accepted {
			edit.ExpectedVersion, edit.Version = 0, 0
			op.Input = edit
			partitions[documentPartition] = append(partitions[documentPartition], op)
		}
	}
	for name, ops := range partitions {
		if r := porcupine.CheckOperationsTimeout(versionModel(), ops, searchTimeout); r != porcupine.Ok {
			c.fail("P8", "the responses to edits of %q are not linearizable with increasing versions (%s)", name, r)
		}
	}
}

// lifetime is the time in which a process incarnation ran.
type lifetime struct{ from, to time.Duration }

// checkObservations checks that no process returns to an older revision, and that
// each accepted edit comes into force within the bound on every process that runs
// without a fault for that time.
func (c *checker) checkObservations() {
	newest := map[string]uint64{}
	observations := map[string][]Event{}
	lifetimes := map[string]lifetime{}
	faults := map[string][]time.Duration{}
	for _, e := range c.history.Events {
		switch e.Type {
		case Up:
			lifetimes[e.Process] = lifetime{e.At, c.history.EndedAt}
			delete(newest, e.Process)
		case Down:
			lifetimes[e.Process] = lifetime{lifetimes[e.Process].from, e.At}
		case Fault:
			faults[e.Process] = append(faults[e.Process], e.At)
		case Observe:
			if e.Revision < newest[e.Process] {
				c.fail("P8", "%s returned from revision %d to the older revision %d", e.Process, newest[e.Process], e.Revision)
			}
			newest[e.Process] = max(newest[e.Process], e.Revision)
			observations[e.Process] = append(observations[e.Process], e)
		}
	}
	for _, edit := range c.history.Edits {
		deadline := edit.Return + c.bounds.InForce
		for process, life := range lifetimes {
			if edit.Outcome != Accepted || life.from > edit.Return || life.to < deadline || anyWithin(faults[process], edit.Return, deadline) {
				continue
			}
			if !observedBy(observations[process], edit.Revision, deadline) {
				c.fail("P8", "revision %d is not in force at %s after %v", edit.Revision, process, c.bounds.InForce)
			}
		}
	}
}

// anyWithin reports whether any of the times is between from and to, inclusive.
func anyWithin(times []time.Duration, from, to time.Duration) bool {
	for _, t := range times {
		if t >= from && t <= to {
			return true
		}
	}
	return false
}

// observedBy reports whether the revision or a newer one was observed by the
// deadline.
func observedBy(observations []Event, revision uint64, deadline time.Duration) bool {
	for _, e := range observations {
		if e.Revision >= revision && e.At <= deadline {
			return true
		}
	}
	return false
}

// checkLimits checks that no accepted edit lowers a limit without AllowDecrease.
func (c *checker) checkLimits() {
	edits := append([]Edit(nil), c.history.Edits...)
	sort.SliceStable(edits, func(i, j int) bool { return edits[i].Revision < edits[j].Revision })
	current := map[string]int64{}
	// lowestUnknown is the lowest value that an edit of unknown outcome with
	// AllowDecrease may have set.
	lowestUnknown := map[string]int64{}
	for _, edit := range edits {
		if edit.Outcome == Unknown && edit.AllowDecrease && edit.Limit != nil {
			if v, ok := lowestUnknown[edit.Resource]; !ok || *edit.Limit < v {
				lowestUnknown[edit.Resource] = *edit.Limit
			}
		}
	}
	for _, edit := range edits {
		if edit.Outcome != Accepted || edit.Limit == nil {
			continue
		}
		old, ok := current[edit.Resource]
		if low, exists := lowestUnknown[edit.Resource]; exists {
			old = min(old, low)
		}
		if ok && *edit.Limit < old && !edit.AllowDecrease {
			c.fail("P8", "revision %d lowers limit %s from %d to %d without allowDecrease", edit.Revision, edit.Resource, old, *edit.Limit)
		}
		current[edit.Resource] = *edit.Limit
	}
}

// statesAllOutcomes reports whether an answer states the outcome of every task.
// No later answer may differ from such an answer.
func statesAllOutcomes(a *jobapi.JobAnswer) bool {
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

// comparableOutcome returns the outcomes in an answer that states all outcomes, as
// text that can be compared.
func comparableOutcome(a *jobapi.JobAnswer) string {
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

// answerModel returns the model of a register that is set once. After an answer
// that states all outcomes, each further such answer must be equal to it, and no
// answer may say that the job is unfinished. A final answer that leaves an outcome
// unknown doesn't change the register.
func answerModel() porcupine.Model {
	return porcupine.Model{
		Init: func() interface{} { return "" },
		Step: func(state, _, output interface{}) (bool, interface{}) {
			a := output.(*jobapi.JobAnswer)
			if statesAllOutcomes(a) {
				text := comparableOutcome(a)
				return state == "" || state == text, text
			}
			return a.State.Final() || state == "", state
		},
	}
}

// checkAnswersAgree checks the part of P2 that concerns several answers: the
// answers about one submission must not contradict each other.
func (c *checker) checkAnswersAgree() {
	partitions := map[string][]porcupine.Operation{}
	for _, e := range c.history.Events {
		call, ok := c.calls[e.Call]
		if e.Type != Response || !ok || e.Answer == nil || e.Answer.Reason == jobapi.ReasonSubmissionConflict {
			continue
		}
		partitions[call.Submission] = append(partitions[call.Submission], porcupine.Operation{
			Output: e.Answer, Call: int64(call.At), Return: int64(e.At),
		})
	}
	for id, ops := range partitions {
		if r := porcupine.CheckOperationsTimeout(answerModel(), ops, searchTimeout); r != porcupine.Ok {
			c.fail("P2", "the answers about %s contradict each other (%s): %s", id, r, describeAnswers(ops))
		}
	}
}

// describeAnswers lists the answers for the detail of a violation.
func describeAnswers(ops []porcupine.Operation) string {
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
