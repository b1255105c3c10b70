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

func spec() Spec {
	return Spec{Duration: 20 * time.Second, Fraction: 0.7, Flood: 10, FloodFrom: 5 * time.Second, FloodTo: 10 * time.Second}
}

// TestGenerate guards against seeds that give an invalid workload or another
// load than the wanted one.
func TestGenerate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		for _, d := range []Deployment{Torno("low"), Safari()} {
			list := Generate(d, spec(), seed)
			if !reflect.DeepEqual(list, Generate(d, spec(), seed)) {
				t.Fatal("the same seed gave two workloads")
			}
			var work, flood time.Duration
			seen := map[string]bool{}
			for i, a := range list {
				if seen[a.Request] || len(a.Runs) < 1 || len(a.Runs) > jobapi.MaxTasks || a.Entry >= d.Entries {
					t.Fatalf("invalid arrival %+v", a)
				}
				if a.At < 0 || a.At > 20*time.Second || i > 0 && a.At < list[i-1].At {
					t.Fatalf("arrival %d at %v", i, a.At)
				}
				seen[a.Request] = true
				if a.Flood {
					flood += a.Work()
				} else {
					work += a.Work()
				}
			}
			slots := float64(d.TotalSlots())
			if f := work.Seconds() / slots / 20; math.Abs(f-0.7) > 0.01 {
				t.Fatalf("steady work is %v of the slots", f)
			}
			if f := flood.Seconds() / slots / 5; math.Abs(f-10) > 0.1 {
				t.Fatalf("flood is %v of the slots", f)
			}
		}
	})
}

// TestIdeal guards against an ideal that is not work-conserving or that omits
// a delay, with a case computed by hand.
func TestIdeal(t *testing.T) {
	ms := time.Millisecond
	d := Deployment{Zones: 2, Entries: 1, Workers: 2, Slots: 1, ZoneDelay: ms, ClientDelay: 3 * ms}
	jobs := []Arrival{
		{At: 0, Runs: []time.Duration{100 * ms, 200 * ms, 50 * ms}},
		{At: 10 * ms, Runs: []time.Duration{10 * ms}},
	}
	// The 200 ms task runs in the own zone from 3 to 203, the 100 ms task in
	// the other one from 4 to 104 and the 50 ms task there from 104 to 154.
	// The second job follows there from 154 to 164.
	want := []time.Duration{206 * ms, 158 * ms}
	if got := Ideal(d, jobs); !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestBaseline guards against a baseline that beats the ideal on average.
func TestBaseline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Safari()
		seed := rapid.Uint64().Draw(t, "seed")
		jobs := Generate(d, Spec{Duration: 10 * time.Second, Fraction: 0.7}, seed)
		var ideal, base time.Duration
		b := Baseline(d, jobs, seed)
		for i, r := range Ideal(d, jobs) {
			unavoidable := slices.Max(jobs[i].Runs) + 2*d.ClientDelay
			if r < unavoidable || b[i] < unavoidable {
				t.Fatalf("job %d takes %v and %v, below %v", i, r, b[i], unavoidable)
			}
			ideal += r
			base += b[i]
		}
		if base < ideal {
			t.Fatalf("baseline %v is below the ideal %v", base, ideal)
		}
	})
}

func sample() []Line {
	return []Line{
		{Type: LineHeader, Header: &Header{Format: TraceFormat, Name: "x", Seed: 1, Deployment: "safari"}},
		ArrivalLine(Arrival{At: time.Second, Request: "r", Team: "mara", Kind: "refund-check", Runs: []time.Duration{time.Second}}),
		{AtUs: 1_500_000, Type: LineFault, Fault: &Fault{Action: "kill", Target: "entry", Index: 1}},
		{AtUs: 1_500_000, Type: LineEdit, Edit: &Edit{Type: "teams", Name: "mara", Spec: []byte(`{"weight":2}`)}},
		{AtUs: 2_500_000, Type: LineOutcome, Outcome: &Stated{Request: "r", State: jobapi.JobComplete, Completed: 1}},
	}
}

// TestReadTraceRejects guards against a reader that accepts traces no run
// could have written.
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

// FuzzReadTrace guards against traces that crash the reader or change when
// they are written and read again.
func FuzzReadTrace(f *testing.F) {
	var buf bytes.Buffer
	if err := WriteTrace(&buf, sample()); err != nil {
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
