package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// singleTaskLimiter is a Limiter with a concurrency of 1 and at most 3 waiting
// tasks.
type singleTaskLimiter struct{ running, queued int }

func (l *singleTaskLimiter) CanStart(time.Duration, wire.Class) bool { return l.running == 0 }
func (l *singleTaskLimiter) Started(time.Duration, wire.Class)       { l.running++ }
func (l *singleTaskLimiter) Ended(time.Duration, wire.Class)         { l.running-- }
func (l *singleTaskLimiter) CanQueue(_ wire.Class, n int) bool       { return l.queued+n <= 3 }
func (l *singleTaskLimiter) Queued(_ wire.Class, delta int)          { l.queued += delta }

// TestLimiter guards against starts above a limit, and against a limited class
// that is not tried again when capacity becomes free.
func TestLimiter(t *testing.T) {
	l := &singleTaskLimiter{}
	m := newMachine(l)
	attach(m, 0, process(1), 4)
	m.Grant(0, process(1), grants(0, 4))
	m.Submit(0, id(1), request("quick", 3))
	checkAnswer(t, m.Submit(0, id(2), request("quick", 2)), jobapi.JobRefused, jobapi.ReasonQueueFull, true)
	for range 3 {
		m.Results(0, process(1), taskResult(singleStart(t, m, process(1)), jobapi.TaskCompleted))
	}
	a, _ := m.Answer(0, id(1))
	checkAnswer(t, a, jobapi.JobComplete, "", false)
	if *l != (singleTaskLimiter{}) {
		t.Fatalf("limiter state after the last task is %+v", *l)
	}
}

// TestHeldCapacity guards against a limit that is exceeded because a task still
// runs after its sidecar was detached.
func TestHeldCapacity(t *testing.T) {
	l := &singleTaskLimiter{}
	m := newMachine(l)
	attach(m, 0, process(1), 4)
	attach(m, 0, process(2), 4)
	m.Grant(0, process(1), grants(0, 4))
	m.Submit(0, id(1), request("quick", 1))
	s := singleStart(t, m, process(1))
	m.DispatchReply(0, process(1), []wire.Start{s}, []wire.StartCode{wire.Accepted})
	m.Detach(time.Second, process(1))
	a, _ := m.Answer(time.Second, id(1))
	checkAnswer(t, a, jobapi.JobFailed, jobapi.ReasonOutcomeUnknown, false)
	deadline := time.Duration(s.TimeLeftMs) * time.Millisecond
	m.Tick(deadline - time.Millisecond)
	if l.running != 1 {
		t.Fatal("the capacity of a task that may still be running was returned")
	}
	if at, ok := m.NextTick(); !ok || at > deadline {
		t.Fatalf("next tick at %v, %v", at, ok)
	}
	m.Tick(deadline)
	if l.running != 0 {
		t.Fatal("the capacity was not returned at the deadline")
	}
}

// TestWorkerChoice guards against a choice of worker that ignores the size, the
// zone or the time of the last use.
func TestWorkerChoice(t *testing.T) {
	m := newMachine(nil)
	for n, zone := range []string{"z2", "z1", "z1"} {
		m.Attach(0, Worker{Sidecar: wire.Peer{Process: process(n), Zone: zone},
			Backend: &wire.Backend{Service: "s", Slots: 4, Size: jobapi.Size{CPUs: float64(8 - 2*n)}}})
		m.Grant(0, process(n), grants(0, 3))
	}
	submit := func(n int, cpus float64) int {
		req := request("quick", 1)
		req.Tasks[0].Size.CPUs = cpus
		m.Submit(0, id(n), req)
		for p := range startsBySidecar(m.Actions()) {
			return int(p.Incarnation) - 1
		}
		return -1
	}
	if a, b := submit(1, 1), submit(2, 1); a == b || a == 0 || b == 0 {
		t.Errorf("workers %d and %d, want both of the same zone in turn", a, b)
	}
	if w := submit(3, 5); w != 1 {
		t.Errorf("a task of 5 CPUs went to worker %d, want 1", w)
	}
	if w := submit(4, 8); w != 0 {
		t.Errorf("a task of 8 CPUs went to worker %d, want 0", w)
	}
	req := request("quick", 1)
	req.Tasks[0].Size.CPUs = 9
	checkAnswer(t, m.Submit(0, id(5), req), jobapi.JobRefused, jobapi.ReasonNeverRuns, true)
}

// TestUnspentCredits guards against starts on credits that the sidecar has
// dropped, and against a recall that does not return all unspent credits.
func TestUnspentCredits(t *testing.T) {
	m := newMachine(nil)
	attach(m, 0, process(1), 4)
	m.Grant(0, process(1), grants(0, 2))
	m.Tick(2 * time.Second)
	m.Submit(2*time.Second, id(1), request("quick", 1))
	if a := startsBySidecar(m.Actions()); len(a) != 0 {
		t.Fatalf("started on an expired credit: %v", a)
	}
	m.Grant(2*time.Second, process(1), grants(2, 3))
	singleStart(t, m, process(1))
	if returned := m.Recall(2*time.Second, process(1), 5); len(returned) != 2 {
		t.Fatalf("returned %v", returned)
	}
}

// TestDemand guards against demand summaries with more than the maximum number of
// classes, and against demand messages to sidecars that have no free slots and
// report no credits elsewhere.
func TestDemand(t *testing.T) {
	m := newMachine(nil)
	doc := document()
	for n := range 40 {
		doc.Teams[fmt.Sprint("t", n)] = &resource.Team{}
	}
	m.SetDocument(0, doc)
	attach(m, 0, process(1), 4)
	attach(m, 0, process(2), 4)
	m.SetLoad(0, process(1), 0, 0, 1)
	m.SetLoad(0, process(2), 0, 0, 0)
	for n := range 40 {
		req := request("quick", 1)
		req.Team = fmt.Sprint("t", n)
		m.Submit(0, id(n), req)
	}
	if d := m.Demand(0); len(d) != wire.MaxDemandClasses || d[0].Waiting != 1 || d[0].Weight != 8 {
		t.Fatalf("demand of %d classes, first %+v", len(d), d[0])
	}
	if a := m.Actions(); len(a) != 1 || a[0] != Action(SendDemand{Sidecar: process(1)}) {
		t.Fatalf("actions %+v", a)
	}
}
