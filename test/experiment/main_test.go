package main

import (
	"slices"
	"testing"
)

// TestFlagsFirst guards against a run that ignores the flags after the name of
// the experiment and therefore uses the wrong seed.
func TestFlagsFirst(t *testing.T) {
	for _, tt := range []struct{ in, want []string }{
		{[]string{"x", "run", "churn", "--seed", "7"}, []string{"x", "run", "--seed", "7", "churn"}},
		{[]string{"x", "run", "--seed", "7", "churn"}, []string{"x", "run", "--seed", "7", "churn"}},
		{[]string{"x", "run", "churn"}, []string{"x", "run", "churn"}},
		{[]string{"x", "list"}, []string{"x", "list"}},
	} {
		if got := flagsFirst(tt.in); !slices.Equal(got, tt.want) {
			t.Errorf("%v became %v, want %v", tt.in, got, tt.want)
		}
	}
}
