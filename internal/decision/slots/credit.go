package slots

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// credit is an unspent credit.
type credit struct {
	id       wire.Credit
	entry    *entry
	issuedAt time.Duration
	// class is the class that the credit was granted for; it is nil for an idle
	// credit, which was granted without demand or which its holder no longer needs.
	class *class
	// reserved is true if the slot is one of those that an overloaded class has to
	// leave free.
	reserved bool
	// unused is true if the credit has been renewed while its holder had waiting
	// tasks. The holder has then not spent it, for example because it has ejected
	// this worker.
	unused bool
}

// issueCredit issues a credit for a free slot to an entry instance. A nil class
// makes it an idle credit.
func (m *Machine) issueCredit(now time.Duration, e *entry, cl *class) {
	var slotNumber uint64
	if n := len(m.freeSlotNumbers); n > 0 {
		slotNumber = m.freeSlotNumbers[n-1]
		m.freeSlotNumbers = m.freeSlotNumbers[:n-1]
	} else {
		m.highestSlotNumber++
		slotNumber = m.highestSlotNumber
	}
	m.issueCreditForSlot(now, e, cl, slotNumber)
}

// issueCreditForSlot issues a credit with the given slot number and queues
// SendGrants if that is not queued already.
func (m *Machine) issueCreditForSlot(now time.Duration, e *entry, cl *class, slotNumber uint64) {
	m.lastCreditSeq++
	c := &credit{id: wire.NewCredit(slotNumber, m.lastCreditSeq), entry: e, issuedAt: now, class: cl}
	if cl != nil {
		cl.usedSlots++
	}
	m.credits[c.id] = c
	e.credits = append(e.credits, c)
	e.unsent = append(e.unsent, c)
	if !e.sendQueued {
		e.sendQueued = true
		m.actions = append(m.actions, SendGrants{Entry: e.peer.Process})
	}
}

// removeCredit removes a credit from all tables. It does not free the slot number.
func (m *Machine) removeCredit(now time.Duration, c *credit) {
	delete(m.credits, c.id)
	isCredit := func(other *credit) bool { return other == c }
	c.entry.credits = slices.DeleteFunc(c.entry.credits, isCredit)
	c.entry.unsent = slices.DeleteFunc(c.entry.unsent, isCredit)
	m.releaseFromClass(now, c)
}

// releaseFromClass turns a credit that was granted on demand into an idle credit, so
// that it no longer counts as a used slot of its class.
func (m *Machine) releaseFromClass(now time.Duration, c *credit) {
	if c.class != nil {
		c.class.usedSlots--
		c.class.lastActive = now
		c.class = nil
	}
}

// voidCredit removes a credit that no task has been started with, and frees its slot
// number.
func (m *Machine) voidCredit(now time.Duration, c *credit) {
	m.removeCredit(now, c)
	m.voidedCredits++
	m.freeSlotNumbers = append(m.freeSlotNumbers, c.id.Slot())
}

func (m *Machine) voidAllCredits(now time.Duration, e *entry) {
	for len(e.credits) > 0 {
		m.voidCredit(now, e.credits[len(e.credits)-1])
	}
}

// renewCredits voids the expired credits of e. It replaces credits that are older
// than a third of CreditTTL by new ones if the sidecar is in contact with e.
func (m *Machine) renewCredits(now time.Duration, e *entry) {
	inContact := m.inContact(now, e)
	for i := 0; i < len(e.credits); {
		c := e.credits[i]
		switch age := now - c.issuedAt; {
		case age >= m.cfg.CreditTTL:
			m.voidCredit(now, c)
		case age > m.cfg.CreditTTL/3 && inContact:
			cl, unused, reserved := c.class, e.hasDemand(), c.reserved
			if unused {
				cl = nil
			}
			m.removeCredit(now, c)
			m.issueCreditForSlot(now, e, cl, c.id.Slot())
			renewed := e.credits[len(e.credits)-1]
			renewed.unused, renewed.reserved = unused, reserved
		default:
			i++
		}
	}
}

// inContact reports whether the sidecar has heard from the entry instance within
// CreditTTL.
func (m *Machine) inContact(now time.Duration, e *entry) bool {
	return now-e.lastContact < m.cfg.CreditTTL
}

// mayGrant reports whether the sidecar may grant credits to the entry instance.
func (m *Machine) mayGrant(now time.Duration, e *entry) bool {
	return e.joined && m.inContact(now, e) && !m.OwnerFenced(e.peer.Process)
}

// TakeGrants returns the grants that have not been sent to the entry instance yet
// and marks them as sent. It omits expired credits.
func (m *Machine) TakeGrants(now time.Duration, process ident.Process) []wire.Grant {
	e := m.entries[process]
	if e == nil {
		return nil
	}
	e.sendQueued = false
	if len(e.unsent) == 0 {
		return nil
	}
	grants := make([]wire.Grant, 0, len(e.unsent))
	for _, c := range e.unsent {
		if now-c.issuedAt >= m.cfg.CreditTTL {
			continue
		}
		grant := wire.Grant{Credit: c.id, Reserved: c.reserved}
		if c.class != nil {
			grant.Class = c.class.key
		}
		grants = append(grants, grant)
	}
	e.unsent = e.unsent[:0]
	return grants
}
