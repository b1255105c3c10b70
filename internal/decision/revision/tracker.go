package revision

import (
	"hash/maphash"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Verdict is the result of comparing a document with the document in use.
type Verdict int

// Verdicts.
const (
	// Same means that the document is the one in use.
	Same Verdict = iota
	// Adopted means that the document descends from the one in use and replaced
	// it.
	Adopted
	// Older means that the document in use descends from this one.
	Older
	// Forked means that each of the two documents has changes that the other
	// lacks. This happens if the store is restored to an older state and edited
	// afterwards.
	Forked
	// Rejected means that the document is invalid and the one in use stays.
	Rejected
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"same", "adopted", "older", "forked", "rejected"}[v]
}

// Tracker holds the configuration document in use and decides whether another
// document replaces it. Only one goroutine at a time may use it.
type Tracker struct {
	held *resource.Document
	// known is the highest revision that this or another process has.
	known uint64
	// rejected is the highest invalid revision. rejectedSum is the hash of the
	// last rejected bytes, so that they aren't decoded again.
	rejected    uint64
	seed        maphash.Seed
	rejectedSum uint64
	rejectedErr error
}

// NewTracker returns a tracker without a document.
func NewTracker() *Tracker { return &Tracker{seed: maphash.MakeSeed()} }

// Held returns the document in use, or nil.
func (t *Tracker) Held() *resource.Document { return t.held }

// ObserveRevision records a revision that another process has.
func (t *Tracker) ObserveRevision(rev uint64) { t.known = max(t.known, rev) }

// Revisions returns the revisions that this process reports in heartbeats.
func (t *Tracker) Revisions() wire.Revisions {
	r := wire.Revisions{Known: t.known, Rejected: t.rejected}
	if t.held != nil {
		r.InForce = t.held.Revision
		r.Known = max(r.Known, r.InForce)
	}
	return r
}

// Consider decodes a document and adopts it if it descends from the one in use.
// It returns the document, or, if the verdict is Rejected, the reason as an
// error.
func (t *Tracker) Consider(data []byte) (Verdict, *resource.Document, error) {
	sum := maphash.Bytes(t.seed, data)
	if t.rejectedErr != nil && sum == t.rejectedSum {
		return Rejected, nil, t.rejectedErr
	}
	doc, err := resource.Decode(data)
	if err == nil && doc.Revision == 0 {
		err = errors.NotValidf("document revision 0")
	}
	if err != nil {
		t.rejected = max(t.rejected, resource.PeekRevision(data))
		t.rejectedSum, t.rejectedErr = sum, err
		return Rejected, nil, err
	}
	t.ObserveRevision(doc.Revision)
	return t.Adopt(doc), doc, nil
}

// Adopt replaces the document in use by doc, which must be valid, if doc
// descends from it.
func (t *Tracker) Adopt(doc *resource.Document) Verdict {
	v := compare(t.held, doc)
	if v == Adopted {
		t.held = doc
		t.ObserveRevision(doc.Revision)
	}
	return v
}

// Compare returns the verdict that Adopt would return, without adopting doc.
func (t *Tracker) Compare(doc *resource.Document) Verdict { return compare(t.held, doc) }

func compare(held, doc *resource.Document) Verdict {
	switch {
	case held == nil:
		return Adopted
	case doc.Revision > held.Revision:
		if descendsFrom(doc, held) {
			return Adopted
		}
		return Forked
	case !descendsFrom(held, doc):
		return Forked
	case doc.Revision == held.Revision:
		return Same
	}
	return Older
}

// descendsFrom reports whether newer descends from older. A history is a linear
// chain of changes, so it is enough to look for the last change of older.
func descendsFrom(newer, older *resource.Document) bool {
	if len(older.Changes) == 0 || len(newer.Changes) == 0 {
		return true
	}
	return includesChange(newer, older.Changes[len(older.Changes)-1])
}

// includesChange reports whether doc contains the change. A document keeps only
// its newest changes, so a change older than all of these counts as contained.
func includesChange(doc *resource.Document, c resource.Change) bool {
	if _, ok := doc.FindChange(c.ID); ok {
		return true
	}
	return len(doc.Changes) == resource.MaxChanges && c.Revision < doc.Changes[0].Revision
}
