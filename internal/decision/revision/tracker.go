package revision

import (
	"hash/maphash"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Verdict says what a Machine makes of a document.
type Verdict int

// Verdicts.
const (
	// Same means that the document is the held one.
	Same Verdict = iota
	// Adopted means that the document is now the held one.
	Adopted
	// Older means that the held document contains this one.
	Older
	// Forked means that each document has changes that the other lacks, which
	// happens when edits follow the restore of an older state of the store.
	Forked
	// Rejected means that the document is invalid; the held one stays.
	Rejected
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"same", "adopted", "older", "forked", "rejected"}[v]
}

// Machine chooses between documents. Only one goroutine at a time may use it.
type Machine struct {
	held  *resource.Document
	known uint64
	// rejected is the highest invalid revision; the sum identifies the last
	// rejected bytes, so that they aren't decoded again.
	rejected    uint64
	seed        maphash.Seed
	rejectedSum uint64
	rejectedErr error
}

// NewMachine returns a machine that holds no document.
func NewMachine() *Machine { return &Machine{seed: maphash.MakeSeed()} }

// Held returns the document in use, or nil.
func (m *Machine) Held() *resource.Document { return m.held }

// NoteKnown records a revision that another process has.
func (m *Machine) NoteKnown(rev uint64) { m.known = max(m.known, rev) }

// Revisions returns the revisions for heartbeats.
func (m *Machine) Revisions() wire.Revisions {
	r := wire.Revisions{Known: m.known, Rejected: m.rejected}
	if m.held != nil {
		r.InForce = m.held.Revision
		r.Known = max(r.Known, r.InForce)
	}
	return r
}

// Consider decodes a document and adopts it if it contains the held one. The
// document is returned unless it was rejected, with the error as the reason.
func (m *Machine) Consider(data []byte) (Verdict, *resource.Document, error) {
	sum := maphash.Bytes(m.seed, data)
	if m.rejectedErr != nil && sum == m.rejectedSum {
		return Rejected, nil, m.rejectedErr
	}
	doc, err := resource.Decode(data)
	if err == nil && doc.Revision == 0 {
		err = errors.NotValidf("document revision 0")
	}
	if err != nil {
		m.rejected = max(m.rejected, resource.PeekRevision(data))
		m.rejectedSum, m.rejectedErr = sum, err
		return Rejected, nil, err
	}
	m.NoteKnown(doc.Revision)
	return m.Adopt(doc), doc, nil
}

// Adopt takes a valid document if it contains the held one.
func (m *Machine) Adopt(doc *resource.Document) Verdict {
	v := compare(m.held, doc)
	if v == Adopted {
		m.held = doc
		m.NoteKnown(doc.Revision)
	}
	return v
}

// Compare returns the verdict that Adopt would give, without adopting.
func (m *Machine) Compare(doc *resource.Document) Verdict { return compare(m.held, doc) }

func compare(held, doc *resource.Document) Verdict {
	switch {
	case held == nil:
		return Adopted
	case doc.Revision > held.Revision:
		if contains(doc, held) {
			return Adopted
		}
		return Forked
	case !contains(held, doc):
		return Forked
	case doc.Revision == held.Revision:
		return Same
	}
	return Older
}

// contains reports whether newer descends from older. Histories are chains, so
// the last change of older decides.
func contains(newer, older *resource.Document) bool {
	if len(older.Changes) == 0 || len(newer.Changes) == 0 {
		return true
	}
	return knows(newer, older.Changes[len(older.Changes)-1])
}

// knows reports whether d contains the change. A change older than all that d
// remembers counts as contained, because d forgets the oldest ones.
func knows(d *resource.Document, c resource.Change) bool {
	if _, ok := d.FindChange(c.ID); ok {
		return true
	}
	return len(d.Changes) == resource.MaxChanges && c.Revision < d.Changes[0].Revision
}
