package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Guards against a sidecar that requests statuses without a pause from a worker process that has an
// earlier start time than the newest report, before its own report arrives.
func TestStatusRequestsBeforeReportOfNextProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &hastyWorker{reported: 2, status: StatusReply{Incarnation: 1,
			Running: []occupancy.Progress{{Run: work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}}}}}
		pollForSecond(t, w)
		if most := int(time.Second/statusRetryDelay) + 3; w.polls > most {
			t.Errorf("%d status requests in a second, want at most %d", w.polls, most)
		}
	})
}
