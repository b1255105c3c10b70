package dispatch

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// TestSuspect guards against a worker that has only failed and gets more than
// one task at a time, and against one that stays in use although the tasks of
// the same kind complete elsewhere.
func TestSuspect(t *testing.T) {
	m := newMachine(nil)
	bad, good := process(1), process(2)
	attach(m, 0, bad, 8)
	m.Grant(0, bad, grants(0, 8))
	m.Submit(0, id(1), request("quick", 1))
	m.Results(0, bad, end(one(t, m, bad), jobapi.TaskFailed))
	m.Submit(0, id(2), request("quick", 3))
	m.Submit(0, id(3), request("quick", 6))
	probe := one(t, m, bad) // the others wait
	attach(m, 0, good, 8)
	m.Grant(0, good, grants(0, 8))
	for _, s := range starts(m.Actions())[good] {
		m.Results(0, good, end(s, jobapi.TaskCompleted))
	}
	ejected := false
	for _, a := range m.Actions() {
		if n, ok := a.(Notice); ok {
			_, e := n.Event.(WorkerEjected)
			ejected = ejected || e
		}
	}
	if !ejected {
		t.Error("not ejected")
	}
	m.Results(0, bad, end(probe, jobapi.TaskFailed))
	m.Submit(0, id(4), request("quick", 1))
	if n := len(starts(m.Actions())[bad]); n != 0 {
		t.Errorf("%d starts on the ejected worker", n)
	}
}
