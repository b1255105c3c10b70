package replay

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

// TestRecordedTraces guards against state machines whose decisions in a replay give
// other outcomes than those that callers recorded: a job that is complete in the
// trace must be complete in the replay, no task may start twice, and a second replay
// must give the same result. A job that a caller canceled at the end of the
// recording is not canceled in the replay, so that its outcome may differ.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { replayTrace(t, file) })
	}
}

// replayTrace replays one trace twice and checks both replays.
func replayTrace(t *testing.T, file string) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, err := load.ReadTrace(f)
	if err != nil {
		t.Fatal(err)
	}
	d, err := load.DeploymentByName(*lines[0].Header)
	if err != nil {
		t.Fatal(err)
	}
	first, err := Run(lines, 1, productionMachines(d))
	if err != nil {
		t.Fatal(err)
	}
	second, err := Run(lines, 1, productionMachines(d))
	if err != nil {
		t.Fatal(err)
	}
	if first.Digest != second.Digest {
		t.Error("two replays of the trace have different digests")
	}
	if first.RecordedOutcomes == 0 || len(first.UnsupportedFaults) > 0 {
		t.Errorf("%d recorded outcomes, unsupported faults %v", first.RecordedOutcomes, first.UnsupportedFaults)
	}
	for task, n := range first.Starts {
		if n > 1 {
			t.Errorf("%v started %d times", task, n)
		}
	}
	for _, m := range first.Mismatches {
		if m.Recorded == jobapi.JobComplete {
			t.Errorf("%s is complete in the trace, but %s in the replay", m.Request, m.Replayed)
		}
	}
}
