package dispatch

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// TestSuspect guards against a worker with only failures that gets more than one
// task at a time, and against such a worker that is not ejected although tasks of
// the same kind complete on other workers.
func TestSuspect(t *testing.T) {
	m := newMachine(nil)
	bad, good := process(1), process(2)
	attach(m, 0, bad, 8)
	m.Grant(0, bad, grants(0, 8))
	m.Submit(0, id(1), request("quick", 1))
	m.Results(0, bad, taskResult(singleStart(t, m, bad), jobapi.TaskFailed))
	m.Submit(0, id(2), request("quick", 3))
	m.Submit(0, id(3), request("quick", 6))
	second := singleStart(t, m, bad) // the other tasks wait
	attach(m, 0, good, 8)
	m.Grant(0, good, grants(0, 8))
	for _, s := range startsBySidecar(m.Actions())[good] {
		m.Results(0, good, taskResult(s, jobapi.TaskCompleted))
	}
	ejected := false
	for _, a := range m.Actions() {
		if n, ok := a.(Notice); ok {
			_, e := n.Event.(WorkerEjected)
			ejected = ejected || e
		}
	}
	if !ejected {
		t.Error("the worker was not ejected")
	}
	m.Results(0, bad, taskResult(second, jobapi.TaskFailed))
	m.Submit(0, id(4), request("quick", 1))
	if n := len(startsBySidecar(m.Actions())[bad]); n != 0 {
		t.Errorf("%d starts on the ejected worker", n)
	}
}
