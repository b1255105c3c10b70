package wire

import (
	"math"
	"net/netip"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// maxMs bounds the times in messages, so that sums of them fit into a duration. It is a
// year in milliseconds.
const maxMs = int64(365 * 24 * 3600 * 1000)

// maxCount bounds the elements of each list of a message.
const maxCount = 10_000

const (
	// maxNameBytes bounds the names of processes and the IDs of jobs.
	maxNameBytes = 256
	// MaxDescriptionBytes bounds all names and labels of a worker and its sidecar together. An entry
	// instance keeps them for each sidecar.
	MaxDescriptionBytes = 4 << 10
)

// maxCounter bounds versions, sessions and sequence numbers. They start at most at a time in
// milliseconds and rise with each message, so a higher one would stay the highest for good.
const maxCounter = uint64(1) << 53

// Validate checks the values of a batch. Errors satisfy errors.IsNotValid.
func (b *RunBatch) Validate() error {
	if len(b.Runs) > maxCount || len(b.Stops) > maxCount || b.Sequence > maxCounter || b.Description > maxCounter || !validClock(b.SidecarClockMs) {
		return errors.NotValidf("batch %d of %d runs and %d stops, built at %d ms", b.Sequence, len(b.Runs), len(b.Stops), b.SidecarClockMs)
	}
	for i := range b.Runs {
		r := &b.Runs[i]
		if !r.Need.Valid() || !validMs(r.EstimateMs) || !validMs(r.MaxWaitMs) || !validMs(r.JobAgeMs) || r.Rank < 0 || !validRun(r.Run) {
			return errors.NotValidf("run %+v: need %+v, rank %d, estimate %d ms, wait %d ms", r.Run, r.Need, r.Rank, r.EstimateMs, r.MaxWaitMs)
		}
	}
	return nil
}

// Validate checks the values of a report. Errors satisfy errors.IsNotValid.
func (b *EndBatch) Validate() error {
	if len(b.Ends) > maxCount || b.FirstEnd > maxCounter {
		return errors.NotValidf("report of %d ends from %d", len(b.Ends), b.FirstEnd)
	}
	for i := range b.Ends {
		if e := &b.Ends[i]; !e.Outcome.Valid() || !e.Crash.Valid() || !validMs(e.RunMs) {
			return errors.NotValidf("end of run %+v: %v after %d ms", e.Run, e.Outcome, e.RunMs)
		}
	}
	if err := validateCrashes(b.Crashes); err != nil {
		return err
	}
	return b.Load.Validate()
}

// Validate checks the values of a heartbeat. Errors satisfy errors.IsNotValid.
func (h *RunnerHeartbeat) Validate() error {
	if h.Info.Sidecar.Process.IsZero() || h.Info.Sidecar.Address == "" || len(h.Info.Labels) > maxCount {
		return errors.NotValidf("heartbeat of %v at %q with %d labels", h.Info.Sidecar.Process, h.Info.Sidecar.Address, len(h.Info.Labels))
	}
	if n := h.Info.bytes(); n > MaxDescriptionBytes {
		return errors.NotValidf("heartbeat with a description of %d bytes", n)
	}
	if h.Session > maxCounter || h.EvacuationRevision > maxCounter || h.Info.FencingToken > int64(maxCounter) {
		return errors.NotValidf("heartbeat of session %d with fencing token %d", h.Session, h.Info.FencingToken)
	}
	if err := validateCrashes(h.Crashes); err != nil {
		return err
	}
	return h.Load.Validate()
}

// bytes is the size of all names and labels.
func (i *WorkerInfo) bytes() int {
	n := len(i.Sidecar.Process.Instance) + len(i.Sidecar.Address) + len(i.Sidecar.Zone) + len(i.Sidecar.Region) + len(i.Worker) + len(i.Service) + len(i.Rack)
	return n + LabelBytes(i.Labels)
}

// LabelBytes is the size of labels in a description.
func LabelBytes(labels []string) int {
	const headerBytes = 16 // of a string
	n := 0
	for _, label := range labels {
		n += headerBytes + len(label)
	}
	return n
}

// Validate checks the values of a request. Errors satisfy errors.IsNotValid.
func (r *ConfigExchangeRequest) Validate() error {
	if r.EvacuationRevision > maxCounter {
		return errors.NotValidf("evacuation at revision %d", r.EvacuationRevision)
	}
	return validateCrashes(r.Crashes)
}

// ValidateCrashes checks the crashes in a reply. Errors satisfy errors.IsNotValid.
func (r *ConfigExchangeReply) ValidateCrashes() error { return validateCrashes(r.Crashes) }

// Validate checks the values of a reply to a heartbeat, except the list of members. Errors
// satisfy errors.IsNotValid.
func (r *RunnerHeartbeatReply) Validate() error {
	if r.Entry.IsZero() {
		return errors.NotValidf("reply to a heartbeat without the entry instance")
	}
	if r.FencingToken < 0 || r.FencingToken > int64(maxCounter) {
		return errors.NotValidf("reply to a heartbeat with fencing token %d", r.FencingToken)
	}
	return nil
}

// ValidateMembers checks the list of members. Errors satisfy errors.IsNotValid.
func (r *RunnerHeartbeatReply) ValidateMembers() error {
	if len(r.Members) > maxCount {
		return errors.NotValidf("list of %d members", len(r.Members))
	}
	for i := range r.Members {
		if _, err := netip.ParseAddrPort(r.Members[i].Address); err != nil {
			return errors.NewNotValid(err, "list of members")
		}
	}
	return nil
}

// Validate checks the values of a load summary. Errors satisfy errors.IsNotValid.
func (l *Load) Validate() error {
	valid := l.Version <= maxCounter && l.Description <= maxCounter && l.AppliedSequence <= maxCounter && l.Capacity.Valid() && l.Free.Valid() && l.Free.FitsIn(l.Capacity) && l.RemainingWork >= 0 &&
		validClock(l.ClockMs) && l.Slowness >= 0 && l.Slowness <= math.MaxInt32
	for rank := range NumRanks {
		valid = valid && l.QueuedMilliCPU[rank] >= 0 && l.QueuedMilliCPU[rank] <= maxCount*work.MaxAmount && l.RankShare[rank] >= 0 && l.RankShare[rank] <= 1
	}
	if !valid {
		return errors.NotValidf("load summary %+v", *l)
	}
	return nil
}

func validMs(ms int64) bool { return ms >= 0 && ms <= maxMs }

// validClock reports whether a clock that starts with a machine can show a time.
func validClock(ms int64) bool { return ms >= -100*maxMs && ms <= 100*maxMs }

func validRun(r work.RunID) bool { return validTask(r.Task) && r.Attempt > 0 }

func validTask(t work.TaskID) bool {
	return t.Job != "" && len(t.Job) <= maxNameBytes && t.Step >= 0 && t.Index >= 0
}
