package work

import (
	"math"
	"slices"
	"testing"
	"time"
)

// TestCheck guards against a job that uses memory or processor time out of proportion
// to its request, and against amounts whose sums overflow.
func TestCheck(t *testing.T) {
	steps := func(n int, edit func(*Step)) []Step {
		s := Step{Count: 1, Need: Resources{MilliCPU: 100}, Estimate: time.Second}
		edit(&s)
		return slices.Repeat([]Step{s}, n)
	}
	unchanged := func(*Step) {}
	for name, c := range map[string]struct {
		job  Job
		want Reason
	}{
		"the largest job":           {Job{Steps: steps(1, func(s *Step) { s.Count = MaxTasks })}, ReasonNone},
		"one step per task":         {Job{Steps: steps(MaxTasks, unchanged)}, ReasonNone},
		"no steps":                  {Job{}, ReasonMalformed},
		"one task too many":         {Job{Steps: steps(1, func(s *Step) { s.Count = MaxTasks + 1 })}, ReasonTooLarge},
		"a step too many":           {Job{Steps: steps(MaxTasks+1, unchanged)}, ReasonTooLarge},
		"an enormous step":          {Job{Steps: steps(1, func(s *Step) { s.Count = 2_000_000_000 })}, ReasonTooLarge},
		"counts whose sum wraps":    {Job{Steps: steps(3, func(s *Step) { s.Count = math.MaxInt/2 + 1 })}, ReasonTooLarge},
		"a long payload":            {Job{Steps: steps(1, unchanged), Payload: string(make([]byte, MaxPayloadBytes+1))}, ReasonTooLarge},
		"a negative bound":          {Job{Steps: steps(1, func(s *Step) { s.MaxPerWorker = -1 })}, ReasonMalformed},
		"a negative estimate":       {Job{Steps: steps(1, func(s *Step) { s.Estimate = -1 })}, ReasonMalformed},
		"a negative need":           {Job{Steps: steps(1, func(s *Step) { s.Need.Accelerators = -1 })}, ReasonMalformed},
		"needs whose sum wraps":     {Job{Steps: steps(1, func(s *Step) { s.Need.MemoryMB = math.MaxInt64 })}, ReasonNeverFits},
		"a step before itself":      {Job{Steps: steps(1, func(s *Step) { s.DependsOn = []int{0} })}, ReasonMalformed},
		"repeated dependencies":     {Job{Steps: append(steps(1, unchanged), steps(1, func(s *Step) { s.DependsOn = make([]int, 1000) })...)}, ReasonMalformed},
		"a dependency below zero":   {Job{Steps: append(steps(1, unchanged), steps(1, func(s *Step) { s.DependsOn = []int{-1} })...)}, ReasonMalformed},
		"a label of a megabyte":     {Job{Steps: steps(1, func(s *Step) { s.RequiredLabel = string(make([]byte, 1<<20)) })}, ReasonMalformed},
		"a rack name of a megabyte": {Job{Steps: steps(1, func(s *Step) { s.PreferredRack = string(make([]byte, 1<<20)) })}, ReasonMalformed},
	} {
		if got := c.job.Check(); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
