package simulation

import (
	"testing"
	"time"
)

// grown is the load of the larger deposit site: 64 workers that take ten tasks
// each, 11 entry instances, bursts of the heaviest and of the most urgent kind.
func grown(scale float64) Load {
	return Load{
		Classes: []Class{
			{Name: "quick", Rank: 0, PerSecond: 206 * scale, Worth: 0.00485, Width: 8, MaxWidth: 32, Run: 60 * time.Millisecond, MilliCPU: 6000},
			{Name: "long", Rank: 2, PerSecond: 37.5 * scale, Worth: 0.0267, Width: 4, MaxWidth: 16, Run: 900 * time.Millisecond, MilliCPU: 6000},
			{Name: "small", Rank: 1, PerSecond: 600 * scale, Worth: 0.00167, Width: 2, MaxWidth: 8, Run: 200 * time.Millisecond, MilliCPU: 6000},
		},
		Bursts: []Burst{
			{"long", 3 * time.Second, 9 * time.Second, 2.5},
			{"quick", 11 * time.Second, 14 * time.Second, 1.8},
		},
		Entries: 11, Workers: 64, MilliCPU: 64000, SlowBy: 1.3,
		Delay: 1500 * time.Microsecond, Beat: 250 * time.Millisecond, Length: 15 * time.Second, Seed: 1,
	}
}

// Guards against tasks that wait at one worker while others have room, because
// the summaries of many entry instances are older than each other's starts, and
// against slow workers that are taken for slower with each task that declares too
// short a time.
func TestCalm(t *testing.T) {
	t.Parallel()
	const want = 0.99
	l := grown(0.67)
	l.Bursts = nil
	o := Play(l)
	for _, c := range l.Classes {
		r := o.Classes[c.Name]
		t.Logf("%-6s %v", c.Name, r)
		if r.Worth() < want {
			t.Errorf("%s: worth %.3f, want %.2f", c.Name, r.Worth(), want)
		}
	}
}

// Guards against an overload by the least urgent kind in which jobs are admitted
// that end too late to serve their callers and take the room of others, and
// against urgent jobs that suffer from it.
func TestOverload(t *testing.T) {
	t.Parallel()
	const (
		// want is what the users ask of the larger sites in bad days.
		want       = 0.89
		wantUrgent = 0.98
		// wantOfCentral is the part of what one entry instance without delays, which
		// knows everything, gets out of the same workers.
		wantOfCentral = 0.97
	)
	l := grown(1.15)
	o := Play(l)
	central := l
	central.Entries, central.Delay, central.Beat = 1, 0, 50*time.Millisecond
	best := Play(central)
	t.Logf("all    %v, central %v", &o.All, &best.All)
	for _, c := range l.Classes {
		t.Logf("%-6s %v", c.Name, o.Classes[c.Name])
	}
	if got := o.All.Worth(); got < want || got < wantOfCentral*best.All.Worth() {
		t.Errorf("worth %.3f, want %.2f and %.2f of %.3f", got, want, wantOfCentral, best.All.Worth())
	}
	if got := o.Classes["quick"].Worth(); got < wantUrgent {
		t.Errorf("urgent jobs: worth %.3f, want %.2f", got, wantUrgent)
	}
}
