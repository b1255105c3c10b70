package slots

import (
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Start spends a credit on a task. If it is accepted, the task is in the
// ledger and takes the slot; else the credit is void.
func (m *Machine) Start(now time.Duration, process ident.Process, s wire.Start) wire.StartCode {
	c := m.credits[s.Credit]
	if c != nil && c.entry.peer.Process != process {
		c = nil
	}
	if c != nil {
		c.entry.heard = now
	}
	code := m.check(now, process, s, c)
	if code != wire.Accepted {
		if c != nil {
			m.void(now, c)
			m.distribute(now)
		}
		return code
	}
	planned := c.class
	m.remove(now, c)
	cl := m.class(now, s.Class)
	if planned != cl {
		m.charge(cl)
	}
	cl.count++
	m.running++
	m.owners[process]++
	m.ledger.start(s, process, cl, c.id.Slot())
	return wire.Accepted
}

func (m *Machine) check(now time.Duration, process ident.Process, s wire.Start, c *credit) wire.StartCode {
	if m.Fenced(process) {
		return wire.RefusedFenced
	}
	if m.ledger.tasks[s.Task] != nil {
		return wire.RefusedDuplicate
	}
	if m.slots == 0 {
		return wire.RefusedLeaving
	}
	if c == nil || now-c.issued >= m.cfg.CreditTTL {
		return wire.RefusedCredit
	}
	if !strings.HasPrefix(s.Task.Submission, c.entry.prefix) {
		// Only the issuer of a submission may start its tasks.
		return wire.RefusedFenced
	}
	return wire.Accepted
}

// Finish records the end of a running task and frees its slot. A task that
// provably did not run leaves the ledger, so that it may be started again.
func (m *Machine) Finish(now time.Duration, r wire.TaskResult) (owner ident.Process, known bool) {
	rec := m.ledger.tasks[r.Task]
	if rec == nil || rec.state.Final() {
		return ident.Process{}, false
	}
	rec.class.count--
	rec.class.active = now
	m.running--
	if m.owners[rec.owner]--; m.owners[rec.owner] == 0 {
		delete(m.owners, rec.owner)
	}
	m.labels = append(m.labels, rec.slot)
	m.ledger.finish(now, rec, r)
	if e := m.entries[rec.owner]; e != nil && m.busy() < m.slots {
		m.grantAfter(now, e)
	}
	m.distribute(now)
	return rec.owner, true
}

// Fence makes the credits of dispatches with a lost reply void and reports
// what became of their tasks.
func (m *Machine) Fence(now time.Duration, process ident.Process, starts []wire.FencedStart) []wire.LedgerEntry {
	out := make([]wire.LedgerEntry, 0, len(starts))
	for _, s := range starts {
		if c := m.credits[s.Credit]; c != nil && c.entry.peer.Process == process {
			m.void(now, c)
		}
		out = append(out, m.ledger.entry(s.Task))
	}
	m.distribute(now)
	return out
}

// Ledger returns the ledger entries of a submission. The state of its owner
// is included if the submission ID is valid.
func (m *Machine) Ledger(submission string) wire.LedgerReply {
	reply := wire.LedgerReply{Sidecar: m.cfg.Self, Entries: m.ledger.submission(submission), JobTasks: m.ledger.jobTasks(submission)}
	id, err := ident.ParseSubmissionID(submission)
	if err != nil {
		return reply
	}
	reply.OwnerFenced = m.Fenced(id.Owner)
	if f := m.first[id.Owner]; f != nil {
		reply.OwnerKnown = true
		reply.OwnerFirstWindow = f.window
	}
	return reply
}

// FenceOwner forbids all further starts for an entry incarnation.
func (m *Machine) FenceOwner(now time.Duration, owner ident.Process) {
	m.fenced[owner] = now
	if e := m.entries[owner]; e != nil {
		m.voidAll(now, e)
		m.setDemand(now, e, nil)
		m.distribute(now)
	}
}

// Fenced reports whether the owner is fenced.
func (m *Machine) Fenced(owner ident.Process) bool {
	_, ok := m.fenced[owner]
	return ok
}
