package entry

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// observeJob records an answered job in the metrics.
func (e *Entry) observeJob(a dispatch.Answered) {
	if e.deps.Metrics == nil {
		return
	}
	m := e.deps.Metrics.Class(a.Class.Team, a.Class.Kind)
	m.Response.Record(a.Response)
	m.Jobs.Add(string(a.Answer.State), 1)
	for _, t := range a.Answer.Tasks {
		if t.State == jobapi.TaskCompleted || t.State == jobapi.TaskFailed {
			m.Run.Record(time.Duration(t.RunMs) * time.Millisecond)
		}
	}
}

// observeWait records how long a task waited for its start.
func (e *Entry) observeWait(class wire.Class, wait time.Duration) {
	if e.deps.Metrics != nil {
		e.deps.Metrics.Class(class.Team, class.Kind).Wait.Record(wait)
	}
}

// handleNotice logs an event of the dispatch machine. It starts a new incarnation
// if a sidecar has fenced the current one.
func (c *core) handleNotice(now time.Duration, n dispatch.Notice) {
	switch ev := n.Event.(type) {
	case dispatch.OwnerFenced:
		c.e.log(event.EntryFenced, "sidecar", ev.Sidecar.String())
		c.restartIncarnation(now)
	case dispatch.WorkerEjected:
		c.e.log(event.EntryWorkerEjected, "worker", ev.Sidecar.Instance, "for", ev.Until-now)
	case dispatch.WorkerReadmitted:
		c.e.log(event.EntryWorkerReadmitted, "worker", ev.Sidecar.Instance)
	case dispatch.TasksLost:
		c.e.log(event.SidecarLost, "sidecar", ev.Sidecar.String(), "tasks", ev.Tasks)
	case dispatch.RetriesExhausted:
		c.e.log(event.EntryRetryBudgetSpent, "team", ev.Class.Team, "kind", ev.Class.Kind)
	}
}
