package slots

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// credit is an unspent credit.
type credit struct {
	id     wire.Credit
	entry  *entry
	issued time.Duration
	// class is the class that a credit granted on demand counts for; nil for
	// an idle credit.
	class *class
	// reserved is true if the slot belongs to the reserve of an overload.
	reserved bool
	// unused is true if the credit has been renewed while its holder had
	// waiting tasks, for example because the holder has ejected this worker.
	unused bool
}

func (m *Machine) issue(now time.Duration, e *entry, cl *class) {
	var label uint64
	if n := len(m.labels); n > 0 {
		label = m.labels[n-1]
		m.labels = m.labels[:n-1]
	} else {
		m.label++
		label = m.label
	}
	m.issueSlot(now, e, cl, label)
}

func (m *Machine) issueSlot(now time.Duration, e *entry, cl *class, label uint64) {
	m.seq++
	c := &credit{id: wire.NewCredit(label, m.seq), entry: e, issued: now, class: cl}
	if cl != nil {
		cl.count++
	}
	m.credits[c.id] = c
	e.credits = append(e.credits, c)
	e.unsent = append(e.unsent, c)
	if !e.sendQueued {
		e.sendQueued = true
		m.actions = append(m.actions, SendGrants{Entry: e.peer.Process})
	}
}

// remove takes a credit out of all tables; its slot number stays in use.
func (m *Machine) remove(now time.Duration, c *credit) {
	delete(m.credits, c.id)
	drop := func(o *credit) bool { return o == c }
	c.entry.credits = slices.DeleteFunc(c.entry.credits, drop)
	c.entry.unsent = slices.DeleteFunc(c.entry.unsent, drop)
	m.unclass(now, c)
}

// unclass makes a credit an idle one.
func (m *Machine) unclass(now time.Duration, c *credit) {
	if c.class != nil {
		c.class.count--
		c.class.active = now
		c.class = nil
	}
}

func (m *Machine) void(now time.Duration, c *credit) {
	m.remove(now, c)
	m.voided++
	m.labels = append(m.labels, c.id.Slot())
}

func (m *Machine) voidAll(now time.Duration, e *entry) {
	for len(e.credits) > 0 {
		m.void(now, e.credits[len(e.credits)-1])
	}
}

// renew expires the credits of e and replaces those older than a third of
// their life, unless the entry instance has been silent.
func (m *Machine) renew(now time.Duration, e *entry) {
	alive := m.alive(now, e)
	for i := 0; i < len(e.credits); {
		c := e.credits[i]
		switch age := now - c.issued; {
		case age >= m.cfg.CreditTTL:
			m.void(now, c)
		case age > m.cfg.CreditTTL/3 && alive:
			cl, unused, reserved := c.class, e.hungry(), c.reserved
			if unused {
				cl = nil
			}
			m.remove(now, c)
			m.issueSlot(now, e, cl, c.id.Slot())
			renewed := e.credits[len(e.credits)-1]
			renewed.unused, renewed.reserved = unused, reserved
		default:
			i++
		}
	}
}

// alive reports whether the entry instance has given a sign of life within
// the life of a credit.
func (m *Machine) alive(now time.Duration, e *entry) bool {
	return now-e.heard < m.cfg.CreditTTL
}

// eligible reports whether the entry instance may be granted credits.
func (m *Machine) eligible(now time.Duration, e *entry) bool {
	return e.joined && m.alive(now, e) && !m.Fenced(e.peer.Process)
}

// Grants drains the grants not yet sent to an entry instance.
func (m *Machine) Grants(now time.Duration, process ident.Process) []wire.Grant {
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
		if now-c.issued >= m.cfg.CreditTTL {
			continue
		}
		g := wire.Grant{Credit: c.id, Reserved: c.reserved}
		if c.class != nil {
			g.Class = c.class.name
		}
		grants = append(grants, g)
	}
	e.unsent = e.unsent[:0]
	return grants
}
