package dispatch

import (
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Machine is the dispatch state machine of an entry instance.
type Machine struct {
	cfg Config
	rnd *rand.Rand
}

// New returns a Machine without a document and without workers.
func New(cfg Config, rnd *rand.Rand) *Machine { return &Machine{cfg: cfg, rnd: rnd} }

// SetDocument puts a validated configuration into force.
func (m *Machine) SetDocument(now time.Duration, doc *resource.Document) {}

// SetWindow sets the current submission window, which never decreases.
func (m *Machine) SetWindow(now time.Duration, window uint64) {}

// Submit admits or refuses a job, or joins it if the ID is known.
func (m *Machine) Submit(now time.Duration, id string, req *jobapi.JobRequest) jobapi.JobAnswer {
	return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused, NotRun: true, Reason: jobapi.ReasonNoConfiguration}
}

// Answer returns the state or the answer of a submission.
func (m *Machine) Answer(now time.Duration, id string) (jobapi.JobAnswer, bool) {
	return jobapi.JobAnswer{}, false
}

// Cancel withdraws the unstarted tasks of a submission.
func (m *Machine) Cancel(now time.Duration, id string) jobapi.JobAnswer { return jobapi.JobAnswer{} }

// Attach adds a sidecar incarnation or updates its backend server.
func (m *Machine) Attach(now time.Duration, w Worker) {}

// Detach removes a sidecar incarnation that is gone.
func (m *Machine) Detach(now time.Duration, sidecar ident.Process) {}

// SetLeaving says whether the sidecar takes no new work.
func (m *Machine) SetLeaving(now time.Duration, sidecar ident.Process, leaving bool) {}

// SetLoad records the load that a sidecar reported; call it after Grant.
func (m *Machine) SetLoad(now time.Duration, sidecar ident.Process, held, free, foreign int) {}

// Grant adds credits.
func (m *Machine) Grant(now time.Duration, sidecar ident.Process, grants []wire.Grant) {}

// Recall takes up to count idle credits back.
func (m *Machine) Recall(now time.Duration, sidecar ident.Process, count int) []wire.Credit {
	return nil
}

// DispatchReply handles the reply to a Dispatch action.
func (m *Machine) DispatchReply(now time.Duration, sidecar ident.Process, starts []wire.Start, codes []wire.RefuseCode) {
}

// DispatchFailed handles a Dispatch action without reply; sent is false if it
// was certainly not delivered.
func (m *Machine) DispatchFailed(now time.Duration, sidecar ident.Process, starts []wire.Start, sent bool) {
}

// FenceReply handles the reply to a Fence action.
func (m *Machine) FenceReply(now time.Duration, sidecar ident.Process, starts []wire.FencedStart, reply wire.FenceReply) {
}

// Results handles the ends of tasks.
func (m *Machine) Results(now time.Duration, sidecar ident.Process, results []wire.TaskResult) {}

// Suspend stops or resumes dispatching.
func (m *Machine) Suspend(now time.Duration, on bool) {}

// Abandon answers all jobs with what is known.
func (m *Machine) Abandon(now time.Duration) {}

// Drain makes the machine refuse new jobs.
func (m *Machine) Drain(on bool) {}

// Wake tries limited classes again after a share has grown.
func (m *Machine) Wake(now time.Duration) {}

// Tick handles deadlines, credit expiry, probes and repeated fences.
func (m *Machine) Tick(now time.Duration) {}

// Next returns when Tick is due; ok is false if nothing waits for time.
func (m *Machine) Next() (at time.Duration, ok bool) { return 0, false }

// Demand returns the demand summary.
func (m *Machine) Demand(now time.Duration) []wire.Demand { return nil }

// Actions places waiting tasks and drains the queued actions.
func (m *Machine) Actions() []Action { return nil }

// Stats returns the counters of all classes.
func (m *Machine) Stats() []ClassStats { return nil }

// Waste returns the counts of wasted messages.
func (m *Machine) Waste() Waste { return Waste{} }
