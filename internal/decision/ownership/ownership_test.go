package ownership

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// TestAdmit guards against a batch that starts runs after its jobs may have been
// submitted again elsewhere, and against one that is carried out twice.
func TestAdmit(t *testing.T) {
	const now = 10 * time.Second
	batch := Batch{Session: 4, Sequence: 7, BuiltAt: now, HasRuns: true}
	for name, c := range map[string]struct {
		change func(o *Owner, b *Batch)
		want   Verdict
	}{
		"in time":                 {func(*Owner, *Batch) {}, Apply},
		"as old as allowed":       {func(_ *Owner, b *Batch) { b.BuiltAt -= Timeout }, Apply},
		"delayed":                 {func(_ *Owner, b *Batch) { b.BuiltAt -= Timeout + 1 }, Stale},
		"delayed stops":           {func(_ *Owner, b *Batch) { b.BuiltAt, b.HasRuns = 0, false }, Apply},
		"of an earlier session":   {func(_ *Owner, b *Batch) { b.Session-- }, Rejected},
		"before contact":          {func(o *Owner, _ *Batch) { o.live = false }, Rejected},
		"a second transmission":   {func(o *Owner, _ *Batch) { o.appliedSequence = 7 }, Applied},
		"an older one, delayed":   {func(o *Owner, b *Batch) { o.appliedSequence, b.BuiltAt = 8, 0 }, Applied},
		"after a long idle time":  {func(o *Owner, _ *Batch) { o.lastContact = 0 }, Apply},
		"from a clock that is on": {func(_ *Owner, b *Batch) { b.BuiltAt += time.Hour }, Apply},
	} {
		o, b := Owner{live: true, session: 4, lastContact: now}, batch
		c.change(&o, &b)
		if got := o.Admit(now, b); got != c.want {
			t.Errorf("%s: verdict %d, want %d", name, got, c.want)
		}
		if o.lastContact > now {
			t.Errorf("%s: contact in the future", name)
		}
	}
}

// TestContact guards against an owner that is paused or cut off and keeps its runs, and
// against one that loses them while it answers.
func TestContact(t *testing.T) {
	o := New(3)
	if o.Admit(0, Batch{Session: 3, Sequence: 1, HasRuns: true}) != Rejected || o.OutOfContact(time.Hour) {
		t.Error("an owner without contact is live")
	}
	if o.HeartbeatAnswered(Timeout+1, 0, 3) || o.Live() {
		t.Error("an answer after the timeout counts as contact")
	}
	if !o.HeartbeatAnswered(100*ms, 90*ms, 3) || o.OutOfContact(90*ms+Timeout) || !o.OutOfContact(91*ms+Timeout) {
		t.Error("the timeout does not run from the time at which the heartbeat was sent")
	}
	o.Admit(time.Second, Batch{Session: 3, Sequence: 1, BuiltAt: 600 * ms, HasRuns: true})
	if !o.OutOfContact(600*ms + Timeout + 1) {
		t.Error("a delayed batch counts as contact at its arrival")
	}
	o.Admit(time.Second, Batch{Session: 3, Sequence: 2, BuiltAt: time.Second})
	if !o.OutOfContact(600*ms + Timeout + 1) {
		t.Error("a batch of stops counts as contact")
	}
	o.ReportAnswered(900*ms, 2)
	if !o.OutOfContact(600*ms + Timeout + 1) {
		t.Error("the answer to a report of an earlier session counts as contact")
	}
	o.ReportAnswered(900*ms, 3)
	if o.OutOfContact(900*ms + Timeout) {
		t.Error("the answer to a report does not count as contact")
	}
	o.Drop()
	if o.Live() || o.Session() != 4 || o.Admit(time.Second, Batch{Session: 4, Sequence: 9}) != Rejected {
		t.Error("a dropped owner is live")
	}
	if o.HeartbeatAnswered(time.Second, time.Second, 3) || !o.HeartbeatAnswered(time.Second, time.Second, 4) {
		t.Error("only an answer to a heartbeat of the new session begins it")
	}
}
