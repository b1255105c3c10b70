package slots

import (
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Start spends a credit on a task. If the start is accepted, Start records the task
// in the ledger, and the task occupies the slot. Otherwise the credit becomes void.
func (m *Machine) Start(now time.Duration, process ident.Process, s wire.Start) wire.StartCode {
	c := m.credits[s.Credit]
	if c != nil && c.entry.peer.Process != process {
		c = nil
	}
	if c != nil {
		c.entry.lastContact = now
	}
	code := m.checkStart(now, process, s, c)
	if code != wire.Accepted {
		if c != nil {
			m.voidCredit(now, c)
			m.distribute(now)
		}
		return code
	}
	grantedClass := c.class
	m.removeCredit(now, c)
	cl := m.classOf(now, s.Class)
	if grantedClass != cl {
		m.charge(cl)
	}
	cl.usedSlots++
	m.running++
	m.runningByOwner[process]++
	m.ledger.recordStart(s, process, cl, c.id.Slot())
	return wire.Accepted
}

// checkStart returns the code for a start with credit c. c is nil if the entry
// instance does not hold the credit.
func (m *Machine) checkStart(now time.Duration, process ident.Process, s wire.Start, c *credit) wire.StartCode {
	if m.OwnerFenced(process) {
		return wire.RefusedFenced
	}
	if m.ledger.tasks[s.Task] != nil {
		return wire.RefusedDuplicate
	}
	if m.slots == 0 {
		return wire.RefusedLeaving
	}
	if c == nil || now-c.issuedAt >= m.cfg.CreditTTL {
		return wire.RefusedCredit
	}
	if !strings.HasPrefix(s.Task.Submission, c.entry.submissionPrefix) {
		// Only the entry instance that issued the submission ID may start the tasks.
		return wire.RefusedFenced
	}
	return wire.Accepted
}

// Finish records the end of a running task and frees its slot. The record of a task
// that provably did not run is removed from the ledger, so that the task may be
// started again. known is false if the ledger has no such running task.
func (m *Machine) Finish(now time.Duration, result wire.TaskResult) (owner ident.Process, known bool) {
	record := m.ledger.tasks[result.Task]
	if record == nil || record.state.Final() {
		return ident.Process{}, false
	}
	record.class.usedSlots--
	record.class.lastActive = now
	m.running--
	if m.runningByOwner[record.owner]--; m.runningByOwner[record.owner] == 0 {
		delete(m.runningByOwner, record.owner)
	}
	m.freeSlotNumbers = append(m.freeSlotNumbers, record.slotNumber)
	m.ledger.recordEnd(now, record, result)
	if e := m.entries[record.owner]; e != nil && m.takenSlots() < m.slots {
		m.regrantFreedSlot(now, e)
	}
	m.distribute(now)
	return record.owner, true
}

// FenceStarts voids the credits of starts whose dispatch reply was lost and returns
// the ledger entries of their tasks.
func (m *Machine) FenceStarts(now time.Duration, process ident.Process, starts []wire.FencedStart) []wire.LedgerEntry {
	entries := make([]wire.LedgerEntry, 0, len(starts))
	for _, s := range starts {
		if c := m.credits[s.Credit]; c != nil && c.entry.peer.Process == process {
			m.voidCredit(now, c)
		}
		entries = append(entries, m.ledger.entryOf(s.Task))
	}
	m.distribute(now)
	return entries
}

// Ledger returns the ledger entries of a submission. If the submission ID is valid,
// the reply also states whether this sidecar knows the owner and has fenced it.
func (m *Machine) Ledger(submission string) wire.LedgerReply {
	reply := wire.LedgerReply{Sidecar: m.cfg.Self, Entries: m.ledger.submissionEntries(submission), JobTasks: m.ledger.jobTasks(submission)}
	id, err := ident.ParseSubmissionID(submission)
	if err != nil {
		return reply
	}
	reply.OwnerFenced = m.OwnerFenced(id.Owner)
	if record := m.ownerRecords[id.Owner]; record != nil {
		reply.OwnerKnown = true
		reply.OwnerFirstWindow = record.firstWindow
	}
	return reply
}

// FenceOwner makes the machine refuse all further starts of an entry incarnation.
func (m *Machine) FenceOwner(now time.Duration, owner ident.Process) {
	m.fencedAt[owner] = now
	if e := m.entries[owner]; e != nil {
		m.voidAllCredits(now, e)
		m.replaceDemand(now, e, nil)
		m.distribute(now)
	}
}

// OwnerFenced reports whether the owner is fenced.
func (m *Machine) OwnerFenced(owner ident.Process) bool {
	_, ok := m.fencedAt[owner]
	return ok
}
