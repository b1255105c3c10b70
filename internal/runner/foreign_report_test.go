package runner

import (
	"math"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// foreignReports returns reports of another writer, each of them well formed.
func foreignReports() map[string]Report {
	later := time.Now().Add(time.Hour).UnixMilli()
	stranger := report(later, 1)
	stranger.ID, stranger.Service, stranger.Address = "i-other", "of-another-system", "127.0.0.1:2"
	ownID := stranger
	ownID.ID = "i-1"
	ownAddress := report(later, 1)
	earlier := ownAddress
	earlier.Incarnation = 1
	otherService, moved := report(2, 1000), report(2, 1000)
	otherService.Service, moved.Address = "of-another-system", "127.0.0.1:2"
	farAhead := ownAddress
	farAhead.Incarnation = math.MaxInt64
	return map[string]Report{
		"of another worker": stranger, "with the worker's identifier": ownID, "with the worker's address": ownAddress, "with an earlier start": earlier,
		"with a start far ahead": farAhead, "of the worker's process with another service": otherService, "of the worker's process with another address": moved,
	}
}

// TestForeignReport guards against runs that are given up while the worker executes them, because a
// report of another writer is taken for one of the worker's next process.
func TestForeignReport(t *testing.T) {
	for name, foreign := range foreignReports() {
		r := newSilentRunner(t)
		handleReport(r, report(2, 5))
		s := r.supervisor
		s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 5})
		run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
		submitRun(r, run)
		running := StatusReply{Incarnation: 2, ClockMs: 6, Running: []occupancy.Progress{{Run: run, Percent: 1}}}
		s.handleStatus(clock.SinceBoot(), running)
		for range 3 {
			handleReport(r, foreign)
			s.handleStatus(clock.SinceBoot(), running)
			foreign.Sequence++
		}
		if r.supervisor != s || r.machine.NumActive() != 1 || !r.machine.AcceptsRuns() {
			t.Errorf("report %s: %d runs are active, accepts runs %v, polls the worker %v", name, r.machine.NumActive(), r.machine.AcceptsRuns(), r.supervisor == s)
		}
		own := report(2, 6)
		own.Capacity.MilliCPU /= 2
		if handleReport(r, own); r.report.Capacity != own.Capacity {
			t.Errorf("report %s: the worker's next report does not count", name)
		}
	}
}

// TestForeignReportFirst guards against a worker that is never used, because another writer's report
// arrives before its first one.
func TestForeignReportFirst(t *testing.T) {
	for name, foreign := range foreignReports() {
		r := newSilentRunner(t)
		handleReport(r, foreign)
		handleReport(r, report(2, 1))
		r.supervisor.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 3}) // only the worker answers
		if r.report.Address != "127.0.0.1:1" {
			loseWorker(r) // nobody answers at the other address
		}
		handleReport(r, report(2, 2))
		r.supervisor.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 4})
		if !r.machine.AcceptsRuns() {
			t.Errorf("report %s: the worker accepts no runs", name)
		}
	}
}

// TestNextProcessAtAddress guards against a restarted worker that is not used, because its report
// arrives before any answer of the new process.
func TestNextProcessAtAddress(t *testing.T) {
	r := newSilentRunner(t)
	handleReport(r, report(1, 5))
	s := r.supervisor
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 5})
	handleReport(r, report(2, 1))
	if r.report.Incarnation != 1 {
		t.Error("a report alone is taken for the proof of a new process")
	}
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 1})
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 2})
	if r.report.Incarnation != 2 || !r.machine.AcceptsRuns() {
		t.Errorf("incarnation %d is known, accepts runs %v", r.report.Incarnation, r.machine.AcceptsRuns())
	}
}
