package main

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/test/experiment/experiments"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
)

// TestProperties guards against violated invariants in the real runtimes under
// faults and concurrent edits. It doesn't check times and shares, which are
// targets of the full experiments.
func TestProperties(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	for _, tt := range []struct {
		experiment string
		duration   time.Duration
		faults     []string
	}{
		{"config", 4 * time.Second, nil},
		{"store-outage", 4 * time.Second, nil},
		{"churn", 11 * time.Second, []string{"deadEntry"}},
		{"churn", 11 * time.Second, []string{"killTwoEntries"}},
		{"churn", 11 * time.Second, []string{"cutEntries"}},
		{"churn", 11 * time.Second, []string{"replaceEntries"}},
		{"churn", 8 * time.Second, []string{"zone"}},
	} {
		name := tt.experiment
		if len(tt.faults) > 0 {
			name += "/" + tt.faults[0]
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rep, _, err := experiments.Run(tt.experiment, experiments.Settings{
				Seed: 1, Duration: tt.duration, Settle: settle, Faults: tt.faults, NewCluster: newCluster})
			if err != nil {
				t.Fatal(err)
			}
			if tt.experiment == "config" && rep.Sizes["accepted"] == 0 {
				t.Error("no edit was accepted")
			}
			logViolations(t, rep.Violations)
		})
	}
}

// settle is the time from the end of the load until open jobs are canceled.
const settle = 2 * time.Second

func logViolations(t *testing.T, found []history.Violation) {
	t.Helper()
	for i, v := range found {
		if i < 5 {
			t.Errorf("violation of %s: %s", v.Invariant, v.Detail)
		}
	}
}
