package placement

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Guards against an explanation that names the wrong workers, ends or reasons, or grows with the
// number of workers or steps.
func TestExplain(t *testing.T) {
	h := newRackHarness(t, 1.5, "a", "b", "c", "d", "e", "f")
	h.beat(0, 0) // full, near
	h.m.SidecarLost(h.now, process(2))
	h.beat(3, 32000, func(l *wire.Load) { l.AcceptsRuns = false })
	h.m.SetUnresponsive(process(4), true)
	h.m.SetEvacuation(h.now, evacuation.State{Revision: 1, Zones: []string{info(5).Sidecar.Zone}})
	spec := wanting("j", 2)
	spec.Steps = append(spec.Steps, work.Step{Count: 1, Need: work.Resources{MilliCPU: 99000}}, work.Step{Count: 1, RequiredLabel: "gpu"})
	got := h.m.Explain(spec)
	near, away := got.Steps[0].Candidates[0], got.Steps[0].Candidates[1]
	if near.Rack != "a" || near.Wait <= 0 || near.RunTime != 400*ms || near.End != near.Wait+near.RunTime || away.Rack != "b" || away.End != 600*ms {
		t.Errorf("candidates %+v", got.Steps[0].Candidates)
	}
	lost := map[Exclusion]int{ExcludedOutOfContact: 1, ExcludedClosed: 1, ExcludedUnresponsive: 1, ExcludedEvacuated: 1}
	for i, reason := range []Exclusion{"", ExcludedNeed, ExcludedRequiredLabel} {
		want := map[Exclusion]int{}
		for r, n := range lost {
			want[r] = n
		}
		if reason != "" {
			want[reason] = 2
		}
		if !reflect.DeepEqual(got.Steps[i].Exclusions, want) {
			t.Errorf("step %d: %v, want %v", i, got.Steps[i].Exclusions, want)
		}
	}
	racks := make([]string, 100)
	large := newRackHarness(t, 0, racks...)
	spec.Steps = make([]work.Step, 100)
	e := large.m.Explain(spec)
	if len(e.Steps) != maxExplainedSteps || e.OmittedSteps != 92 || len(e.Steps[0].Candidates) != maxExplainedCandidates || e.Steps[0].OmittedCandidates != 84 {
		t.Errorf("%d steps of 100 with %d of 100 candidates", len(e.Steps), len(e.Steps[0].Candidates))
	}
}

// Guards against an explanation that changes what happens to the next jobs.
func TestExplainChangesNothing(t *testing.T) {
	play := func(explain bool) string {
		h := newRackHarness(t, 1.5, "a", "a", "b", "c")
		text := ""
		for i := range 20 {
			if explain {
				unknown := wanting("x", 3)
				unknown.Queue = "unknown queue"
				h.m.Explain(wanting("x", 3))
				h.m.Explain(unknown)
			}
			a, ok := h.submit(wanting(fmt.Sprint("j", i), 3))
			text += fmt.Sprint(a, ok, h.takeBatches(), len(h.m.jobs), len(h.m.calibrations))
		}
		return text
	}
	if play(true) != play(false) {
		t.Error("other batches or answers after an explanation")
	}
}
