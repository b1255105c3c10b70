package runner

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/event"
)

// Attach starts polling the worker at an address before the worker has reported, so
// that runs that an earlier sidecar process has started there are stopped early. It
// does nothing if the address is empty.
func (r *Runner) Attach(address string) {
	if address == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Address = address
	r.startSupervisor(address)
}

// HandleReport handles a worker's report about itself. It ignores late reports of other
// incarnations and reports that arrive after a newer one. A report of another process than the
// known one is a claim, which anybody can make; it counts once the worker's answers to status
// requests bear it out (see judge). When HandleReport returns for a report with Draining set, the
// sidecar issues no further start calls. Calls that it has issued before may still reach the
// worker.
func (r *Runner) HandleReport(report Report) {
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	switch verdict, reason := r.judge(now, report); verdict {
	case reportCounts:
		r.applyReport(now, report)
	case reportPending:
		r.setPendingReport(now, report)
	case reportIgnored:
		r.logIgnoredReport(report, reason)
		if r.supervisor != nil {
			r.supervisor.wake() // without active runs, it sends no status requests
		}
	case reportOld:
	}
}

func (r *Runner) logIgnoredReport(report Report, reason string) {
	event.LogRateLimited(event.ReportIgnored, "worker", report.ID, "born", report.Incarnation, "address", report.Address, "service", report.Service,
		"workerNewest", r.report.ID, "bornNewest", r.report.Incarnation, "reason", reason)
}

// applyReport takes over a report that counts; mu is held.
func (r *Runner) applyReport(now time.Duration, report Report) {
	old := r.report
	if report.Incarnation != old.Incarnation && old.Incarnation != 0 {
		r.exitedIncarnations = append(r.exitedIncarnations, old.Incarnation)
		r.exitedIncarnations = r.exitedIncarnations[max(0, len(r.exitedIncarnations)-maxExitedIncarnations):]
	}
	if r.supervisor != nil && !report.sameProcess(old) && r.workerLost(now) {
		r.machine.LeasesExpired(now, occupancy.OfAnyProcess)
	}
	r.pending = pendingReport{}
	r.reportedAt = now
	r.report = report
	r.workerLeft = false
	if r.supervisor == nil || report.Address != old.Address {
		r.startSupervisor(report.Address)
	}
	if !report.sameProcess(old) {
		r.supervisor.setIncarnation(now, report.Incarnation)
		if r.statusIncarnation != report.Incarnation {
			r.supervisor.lastSeenEnd = 0
			r.supervisor.inContact = false
		}
	} else {
		r.supervisor.setReportedClock(now, report.ClockMs)
	}
	r.machine.SetWorker(now, occupancy.Worker{ID: report.ID, Incarnation: report.Incarnation, Capacity: report.Capacity, Leaving: report.Draining})
	r.updateDescription(now)
	if !report.sameProcess(old) || report.Draining != old.Draining {
		event.LogRateLimited(event.WorkerChanged, "worker", report.ID, "born", report.Incarnation, "service", report.Service, "milliCPU", report.Capacity.MilliCPU,
			"memoryMB", report.Capacity.MemoryMB, "draining", report.Draining, "before", old.ID)
		r.supervisor.wake()
	}
	r.updateAvailability(now)
	for _, c := range r.entries {
		if report.Draining != old.Draining || report.Capacity != old.Capacity {
			c.wake()
		}
	}
}

// updateDescription numbers the description of the worker anew if it has changed, and sends it to the
// entry instances; mu is held.
func (r *Runner) updateDescription(now time.Duration) {
	info := r.workerInfo()
	if info.SameWorker(&r.described) {
		return
	}
	r.described = info
	r.description++
	r.machine.SetDescription(now, r.description)
	for _, c := range r.entries {
		c.wake()
	}
}

// HandleDeregistration handles the message of a worker incarnation that it is about to exit.
// An incarnation of zero is unknown.
func (r *Runner) HandleDeregistration(id string, incarnation int64) {
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	if id != r.report.ID || incarnation != 0 && incarnation != r.report.Incarnation {
		event.LogRateLimited(event.ReportIgnored, "worker", id, "born", incarnation, "bornNewest", r.report.Incarnation, "left", true)
		return
	}
	r.workerLeft = true
	r.machine.WorkerLeaving()
	r.updateDescription(now)
	event.LogRateLimited(event.WorkerChanged, "worker", id, "left", true)
	r.updateAvailability(now)
}

// updateAvailability tells the machine whether the worker can accept new runs; mu is
// held.
func (r *Runner) updateAvailability(now time.Duration) {
	reporting := r.report.ID != "" && r.report.Incarnation == r.statusIncarnation && now-r.reportedAt < maxMissedReports*r.cfg.ReportInterval
	limit, limited := r.leaseLimit()
	canLease := !limited || limit > now+minUsefulLease
	r.machine.SetWorkerAvailable(now, reporting && canLease && !r.awaitsState(now) && r.supervisor != nil && r.supervisor.inContact && r.supervisor.clockOffsetKnown && !r.report.Draining && !r.workerLeft)
}
