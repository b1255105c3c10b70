package main

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/test/experiment/experiments"
)

// TestLimitsHold guards against more running tasks than a limit or a quota
// allows, counted at the backend servers of a running cluster.
func TestLimitsHold(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	rep, _, err := experiments.Run("limits", experiments.Settings{Seed: 1, Duration: 3 * time.Second, Settle: time.Second, NewCluster: newCluster})
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, target := range rep.Targets {
		if target.Figure != "kiln.running" && target.Figure != "quito.running" {
			continue
		}
		checked++
		if rep.Figures[target.Figure] > target.Bound {
			t.Errorf("%s is %v, the limit is %v", target.Figure, rep.Figures[target.Figure], target.Bound)
		}
		if rep.Figures[target.Figure] == 0 {
			t.Errorf("%s is 0: no task ran", target.Figure)
		}
	}
	if checked != 2 {
		t.Errorf("%d of 2 limits are checked", checked)
	}
}
