package load

import (
	"bytes"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

func testSpec() Spec {
	return Spec{Duration: 20 * time.Second, Utilization: 0.7, FloodLoad: 10, FloodFrom: 5 * time.Second, FloodTo: 10 * time.Second}
}

// TestGenerate guards against seeds for which the workload is invalid, differs
// between two calls, or offers another load than specified.
func TestGenerate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		for _, d := range []Deployment{Torno("low"), Safari()} {
			jobs := Generate(d, testSpec(), seed)
			if !reflect.DeepEqual(jobs, Generate(d, testSpec(), seed)) {
				t.Fatal("the same seed gave two workloads")
			}
			var steady, flood time.Duration
			seen := map[string]bool{}
			for i, a := range jobs {
				if seen[a.Request] || len(a.RunTimes) < 1 || len(a.RunTimes) > jobapi.MaxTasks || a.EntryIndex >= d.Entries {
					t.Fatalf("invalid arrival %+v", a)
				}
				if a.At < 0 || a.At > 20*time.Second || i > 0 && a.At < jobs[i-1].At {
					t.Fatalf("arrival %d at %v", i, a.At)
				}
				seen[a.Request] = true
				if a.Flood {
					flood += a.TotalRunTime()
				} else {
					steady += a.TotalRunTime()
				}
			}
			slots := float64(d.TotalSlots())
			if f := steady.Seconds() / slots / 20; math.Abs(f-0.7) > 0.01 {
				t.Fatalf("the steady jobs occupy %v of the slots, want 0.7", f)
			}
			if f := flood.Seconds() / slots / 5; math.Abs(f-10) > 0.1 {
				t.Fatalf("the overload is %v times the slots, want 10", f)
			}
		}
	})
}

// TestIdealResponseTimes guards against an ideal queue that is not work-conserving
// or that omits a delay. The expected times are computed by hand.
func TestIdealResponseTimes(t *testing.T) {
	ms := time.Millisecond
	d := Deployment{Zones: 2, Entries: 1, Workers: 2, SlotsPerWorker: 1, ZoneDelay: ms, ClientDelay: 3 * ms}
	jobs := []Arrival{
		{At: 0, RunTimes: []time.Duration{100 * ms, 200 * ms, 50 * ms}},
		{At: 10 * ms, RunTimes: []time.Duration{10 * ms}},
	}
	// The 200 ms task runs in the zone of the entry instance from 3 to 203 ms. In the
	// other zone, the 100 ms task runs from 4 to 104, the 50 ms task from 104 to 154,
	// and the second job from 154 to 164.
	want := []time.Duration{206 * ms, 158 * ms}
	if got := IdealResponseTimes(d, jobs); !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestBaselineResponseTimes guards against baseline response times that are shorter
// than the ideal ones on average, and against times shorter than the longest task
// and the delays of the client.
func TestBaselineResponseTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Safari()
		seed := rapid.Uint64().Draw(t, "seed")
		jobs := Generate(d, Spec{Duration: 10 * time.Second, Utilization: 0.7}, seed)
		var idealSum, baselineSum time.Duration
		baseline := BaselineResponseTimes(d, jobs, seed)
		for i, r := range IdealResponseTimes(d, jobs) {
			unavoidable := slices.Max(jobs[i].RunTimes) + 2*d.ClientDelay
			if r < unavoidable || baseline[i] < unavoidable {
				t.Fatalf("job %d takes %v (ideal) and %v (baseline), want at least %v", i, r, baseline[i], unavoidable)
			}
			idealSum += r
			baselineSum += baseline[i]
		}
		if baselineSum < idealSum {
			t.Fatalf("the sum of the baseline response times %v is below the ideal sum %v", baselineSum, idealSum)
		}
	})
}

// sampleTrace returns a trace with one line of each type.
func sampleTrace() []TraceLine {
	return []TraceLine{
		{Type: LineHeader, Header: &TraceHeader{Format: TraceFormat, Name: "x", Seed: 1, Deployment: "safari"}},
		ArrivalLine(Arrival{At: time.Second, Request: "r", Team: "mara", Kind: "refund-check", RunTimes: []time.Duration{time.Second}}),
		{AtUs: 1_500_000, Type: LineFault, Fault: &TraceFault{Action: "kill", Target: "entry", Index: 1}},
		{AtUs: 1_500_000, Type: LineEdit, Edit: &TraceEdit{Type: "teams", Name: "mara", Spec: []byte(`{"weight":2}`)}},
		{AtUs: 2_500_000, Type: LineOutcome, Outcome: &TraceOutcome{Request: "r", State: jobapi.JobComplete, Completed: 1}},
	}
}

// TestReadTraceRejects guards against a reader that accepts a trace that no run
// can have written.
func TestReadTraceRejects(t *testing.T) {
	const header = `{"type":"header","header":{"format":1,"deployment":"torno"}}` + "\n"
	for _, text := range []string{
		"", "{}", `{"type":"header","header":{"format":2}}`, header + header,
		header + `{"type":"arrival","arrival":{"runsUs":[]}}`,
		header + `{"type":"arrival","arrival":{"runsUs":[-1]}}`,
		header + `{"type":"arrival","fault":{"action":"kill"}}`,
		header + `{"type":"fault","fault":{},"unknown":1}`,
		header + `{"type":"fault","fault":{}} {}`,
		header + `{"atUs":5,"type":"fault","fault":{}}` + "\n" + `{"atUs":4,"type":"fault","fault":{}}`,
	} {
		if _, err := ReadTrace(bytes.NewReader([]byte(text))); !errors.Is(err, errors.NotValid) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// FuzzReadTrace guards against a reader that panics, and against traces that change
// when they are written and read again.
func FuzzReadTrace(f *testing.F) {
	var buf bytes.Buffer
	if err := WriteTrace(&buf, sampleTrace()); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Add([]byte(`{"type":"header","header":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		lines, err := ReadTrace(bytes.NewReader(text))
		if err != nil {
			return
		}
		var out, again bytes.Buffer
		if err := WriteTrace(&out, lines); err != nil {
			t.Fatal(err)
		}
		lines, err = ReadTrace(bytes.NewReader(out.Bytes()))
		if err != nil {
			t.Fatal(err)
		}
		if err := WriteTrace(&again, lines); err != nil || out.String() != again.String() {
			t.Fatalf("%v: %q became %q", err, out.String(), again.String())
		}
	})
}
