package experiments

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/test/experiment/history"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

// TestExperiments guards against experiments that report violations in a correct
// system, that don't set the figure of a target, or that write a trace that can't be
// read. It doesn't check whether targets are met.
func TestExperiments(t *testing.T) {
	durations := map[string]time.Duration{"churn": 8 * time.Second}
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := durations[name]
			if d == 0 {
				d = time.Second
			} else if testing.Short() {
				t.Skip("takes several seconds")
			}
			rep, trace, err := Run(name, Settings{Seed: 3, Duration: d, Settle: time.Second, NewCluster: fakeFactory(t, false, false)})
			if err != nil {
				t.Fatal(err)
			}
			for i, v := range rep.Violations {
				if i < 5 {
					t.Errorf("violation: %+v", v)
				}
			}
			if len(rep.Targets) == 0 {
				t.Error("no targets")
			}
			for _, g := range rep.Targets {
				if _, ok := rep.Figures[g.Figure]; !ok {
					t.Errorf("no figure %s", g.Figure)
				}
			}
			var buf bytes.Buffer
			if err := load.WriteTrace(&buf, trace); err != nil {
				t.Fatal(err)
			}
			if _, err := load.ReadTrace(&buf); err != nil {
				t.Fatal(err)
			}
			if name == "limits" && targetMet(rep, "kiln.running") {
				t.Error("a cluster without limits meets the target of a limit")
			}
		})
	}
}

// TestSteadyTargets guards against targets of the steady experiment that are so weak
// that the baseline, random placement with a queue per worker, would meet them.
func TestSteadyTargets(t *testing.T) {
	for seed := range uint64(10) {
		for _, d := range []load.Deployment{load.Torno("low"), load.Safari()} {
			jobs := load.Generate(d, load.Spec{Duration: 20 * time.Second, Utilization: steadyLoad}, seed)
			ideal, base := load.IdealResponseTimes(d, jobs), load.BaselineResponseTimes(d, jobs, seed)
			if got := report.RatioQuantile(jobRatios(base, ideal), 0.99); got <= maxRatioP99 {
				t.Errorf("%s, seed %d: the p99 ratio of the baseline is %v", d.Name, seed, got)
			}
		}
	}
}

func targetMet(rep *report.Report, figure string) bool {
	for _, g := range rep.Targets {
		if g.Figure == figure {
			return g.Met
		}
	}
	return false
}

// TestInjectedDefects guards against an experiment that passes although the system
// starts tasks twice or leaves tasks out of its answers.
func TestInjectedDefects(t *testing.T) {
	for _, tt := range []struct {
		want                      string
		duplicateStarts, omitTask bool
	}{{"P1", true, false}, {"P5", true, false}, {"P2", false, true}} {
		t.Run(tt.want, func(t *testing.T) {
			t.Parallel()
			rep, _, err := Run("overhead", Settings{Seed: 1, Duration: time.Second / 2, NewCluster: fakeFactory(t, tt.duplicateStarts, tt.omitTask)})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range rep.Violations {
				if v.Invariant == tt.want && !rep.OK() {
					return
				}
			}
			t.Fatalf("no violation of %s, OK is %v", tt.want, rep.OK())
		})
	}
}

// TestInForceTimes guards against a time that ignores the slowest process, or that
// includes a process that started after the edit.
func TestInForceTimes(t *testing.T) {
	s := time.Second
	h := &history.History{
		EndedAt: 20 * s,
		Events: []history.Event{
			{At: 0, Type: history.Up, Process: "a"}, {At: 0, Type: history.Up, Process: "b"},
			{At: 2 * s, Type: history.Observe, Process: "a", Revision: 5},
			{At: 4 * s, Type: history.Observe, Process: "b", Revision: 6},
			{At: 9 * s, Type: history.Up, Process: "c"},
		},
		Edits: []history.Edit{
			{Return: s, Revision: 5, Outcome: history.Accepted},
			{Return: s, Revision: 6, Outcome: history.Conflict},
			{Return: 8 * s, Revision: 7, Outcome: history.Accepted},
		},
	}
	times, never := inForceTimes(h)
	if len(times) != 1 || times[0] != 3*s || never != 1 {
		t.Fatalf("got %v and %d, want [3s] and 1", times, never)
	}
}

// TestScheduleSteps guards against a schedule in which jobs that are measured for one
// fault still run when the next fault begins, and against a step beyond the duration.
func TestScheduleSteps(t *testing.T) {
	d := load.Torno("low")
	rnd := rand.New(rand.NewPCG(1, 1))
	steps := append(shortFaultSteps(d, rnd), longFaultSteps(d, rnd)...)
	fit, at := scheduleSteps(steps, experiments["churn"].Duration, quietTime)
	if len(fit) != len(steps) {
		t.Fatalf("%d of %d steps fit", len(fit), len(steps))
	}
	for i := 1; i < len(at); i++ {
		if at[i] != at[i-1]+fit[i-1].measureEnd()+quietTime || fit[i-1].duration() > fit[i-1].measureEnd() {
			t.Errorf("%s at %v is followed by %s at %v", fit[i-1].name, at[i-1], fit[i].name, at[i])
		}
	}
	if short, _ := scheduleSteps(steps, time.Second, quietTime); len(short) != 1 {
		t.Errorf("%d steps within a second", len(short))
	}
}

// TestPostpone guards against a fault that begins during the measurement after an
// earlier fault that ended late.
func TestPostpone(t *testing.T) {
	at := []time.Duration{time.Second, 3 * time.Second}
	postpone(at, -time.Second)
	postpone(at, 2*time.Second)
	if at[0] != 3*time.Second || at[1] != 5*time.Second {
		t.Fatalf("times %v", at)
	}
}
