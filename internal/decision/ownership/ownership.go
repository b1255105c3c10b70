// Package ownership is the state machine with which a sidecar decides whether an entry
// instance may have runs at its worker. An Owner does no I/O and must be used by one
// goroutine at a time; the times are those of one clock of the sidecar, which also
// counts the time for which the machine was suspended.
//
// A caller that gets no answer from an entry instance submits its job again at another
// one. The runs of the first one must have ended by then, also if that one is paused or
// cut off and does not know it. So a sidecar stops the runs of an owner that is out of
// contact for Timeout, and carries out no batch that is older. Contact is anything that
// proves that the owner was alive at a time: an answered heartbeat or report, for the
// time at which it was sent, and a batch, for the time at which the owner built it.
package ownership

import "time"

// Timeout is the time without contact after which an owner's runs are stopped. The runs
// have ended before the owner's own timeout for this sidecar passes, and before a caller
// that got no answer submits its job again.
const Timeout = 700 * time.Millisecond

// LeaseAfterContact bounds the lease of a run by the time since the newest contact with
// its owner. If the sidecar itself is paused before it can stop the runs of a silent
// owner, their leases end before a caller submits its job again, also on a worker whose
// clock is 2% slow.
const LeaseAfterContact = 1200 * time.Millisecond

// Owner is the state of one entry incarnation at a sidecar. The zero value has no
// contact yet.
type Owner struct {
	live            bool
	session         uint64
	lastContact     time.Duration
	appliedSequence uint64
}

// New returns an owner without contact that begins with a session.
func New(session uint64) Owner { return Owner{session: session} }

// Live reports whether batches of the owner are accepted.
func (o *Owner) Live() bool { return o.live }

// Session returns the number of the session, which increases each time that the owner's
// runs are dropped.
func (o *Owner) Session() uint64 { return o.session }

// AppliedSequence returns the number of the newest batch carried out in the session.
func (o *Owner) AppliedSequence() uint64 { return o.appliedSequence }

// LastContact returns the newest time at which the owner was certainly alive.
func (o *Owner) LastContact() time.Duration { return o.lastContact }

// HeartbeatAnswered records the answer to a heartbeat that was sent at sentAt and
// reported the given session. It returns false if the answer proves nothing, because the
// session has ended meanwhile or the heartbeat is too old.
func (o *Owner) HeartbeatAnswered(now, sentAt time.Duration, session uint64) bool {
	if session != o.session || now-sentAt > Timeout {
		return false
	}
	o.live = true
	o.lastContact = max(o.lastContact, sentAt)
	return true
}

// ReportAnswered records that a live owner has answered a report that was sent at sentAt
// in the given session.
func (o *Owner) ReportAnswered(sentAt time.Duration, session uint64) {
	if o.live && session == o.session {
		o.lastContact = max(o.lastContact, sentAt)
	}
}

// OutOfContact reports whether the runs of the owner have to be stopped, if it has any.
// An owner without runs stays live, however long it is silent: there is nothing to stop,
// and the age of each batch is checked by itself.
func (o *Owner) OutOfContact(now time.Duration) bool { return o.live && now-o.lastContact > Timeout }

// Drop ends the session. The caller stops the runs of the owner and begins no new
// session by a heartbeat before all of them have ended.
func (o *Owner) Drop() {
	o.live = false
	o.session++
	o.appliedSequence = 0
}

// Batch is the part of a batch of starts and stops that decides whether it is carried
// out.
type Batch struct {
	Session, Sequence uint64
	// BuiltAt is the time at which the owner built the batch, on the sidecar's clock. It
	// is the same in each transmission of the batch.
	BuiltAt time.Duration
	// HasRuns is true if the batch starts runs.
	HasRuns bool
}

// Verdict says what to do with a batch.
type Verdict uint8

// Verdicts.
const (
	// Apply means that the batch is carried out.
	Apply Verdict = iota
	// Applied means that an earlier transmission of the batch has been carried out.
	Applied
	// Rejected means that the owner is not live or the batch is of another session.
	Rejected
	// Stale means that the batch is too old to start its runs. No transmission of it has
	// started them and none will. Its stops are carried out.
	Stale
)

// Admit decides about a batch, and records it if the verdict is Apply.
func (o *Owner) Admit(now time.Duration, b Batch) Verdict {
	switch {
	case !o.live || b.Session != o.session:
		return Rejected
	case b.Sequence <= o.appliedSequence:
		return Applied
	case b.HasRuns && now-b.BuiltAt > Timeout:
		return Stale
	}
	o.appliedSequence = b.Sequence
	if b.HasRuns {
		o.lastContact = max(o.lastContact, min(b.BuiltAt, now))
	}
	return Apply
}
