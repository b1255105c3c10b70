package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/juju/errors"
)

// MaxDocumentBytes is the size limit of an encoded document. It is below the
// store's limit of 1 MiB for a value, so that a store that counts its own
// envelope towards that limit accepts the largest document too.
const MaxDocumentBytes = 960 << 10

// ErrTooLarge means that a document or a request exceeds its size limit.
const ErrTooLarge = errors.ConstError("too large")

// Names of the resources in the default document.
const (
	UrgencyCritical = "critical"
	UrgencyHigh     = "high"
	UrgencyNormal   = "normal"
	UrgencyLow      = "low"
	PolicyDefault   = "default"
)

// Default returns the document of a new installation, which has revision 0,
// four urgencies and the policy "default".
func Default() *Document {
	d := &Document{Format: DocumentFormat, Urgencies: map[string]*Urgency{}, Policies: map[string]*Policy{}}
	levels := []struct {
		name   string
		weight float64
	}{{UrgencyLow, 1}, {UrgencyNormal, 2}, {UrgencyHigh, 4}, {UrgencyCritical, 8}}
	for rank, l := range levels {
		d.Urgencies[l.name] = &Urgency{
			Metadata: Metadata{Name: l.name, Generation: 1},
			Spec:     UrgencySpec{Weight: l.weight, Rank: rank},
		}
	}
	d.Policies[PolicyDefault] = &Policy{Metadata: Metadata{Name: PolicyDefault, Generation: 1}}
	return d
}

// DecodeStrict decodes a single JSON value into v and rejects unknown fields
// and trailing data. Errors satisfy errors.IsNotValid.
func DecodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.NewNotValid(err, "JSON")
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.NotValidf("JSON with data after the value")
	}
	return nil
}

// Decode decodes and validates a document and drops the status of its
// resources. Errors satisfy errors.IsNotValid or are ErrTooLarge.
func Decode(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, errors.Annotatef(ErrTooLarge, "document of %d bytes (at most %d)", len(data), MaxDocumentBytes)
	}
	d := &Document{}
	if err := DecodeStrict(data, d); err != nil {
		return nil, errors.Annotate(err, "document")
	}
	if err := d.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	d.clearStatus()
	return d, nil
}

// Encode returns the JSON encoding of a document, or ErrTooLarge if the
// encoding exceeds MaxDocumentBytes.
func Encode(d *Document) ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Annotate(err, "document")
	}
	if len(data) > MaxDocumentBytes {
		return nil, errors.Annotatef(ErrTooLarge, "document of %d bytes (at most %d)", len(data), MaxDocumentBytes)
	}
	return data, nil
}

// PeekRevision reads the revision of an encoded document without validating
// the document. It returns 0 if the revision can't be read.
func PeekRevision(data []byte) uint64 {
	var d struct {
		Revision uint64 `json:"revision"`
	}
	if len(data) > MaxDocumentBytes || json.Unmarshal(data, &d) != nil {
		return 0
	}
	return d.Revision
}

// Clone returns a deep copy of the document without the status of its resources.
func (d *Document) Clone() *Document {
	c := *d
	c.Kinds = cloneObjects(d.Kinds, func(*KindSpec) {})
	c.Teams = cloneObjects(d.Teams, func(s *TeamSpec) { s.Quota = s.Quota.clone() })
	c.Urgencies = cloneObjects(d.Urgencies, func(*UrgencySpec) {})
	c.Limits = cloneObjects(d.Limits, func(s *LimitSpec) { s.Amounts = s.Amounts.clone() })
	c.Policies = cloneObjects(d.Policies, func(s *PolicySpec) {
		s.ReserveSlots, s.RetryPercent = clonePtr(s.ReserveSlots), clonePtr(s.RetryPercent)
		s.EjectPercent, s.QueueTasks = clonePtr(s.EjectPercent), clonePtr(s.QueueTasks)
	})
	c.Changes = slices.Clone(d.Changes)
	return &c
}

// cloneObjects copies the objects. The callback clonePointers replaces each
// pointer in a copied spec by a pointer to a copy of its value.
func cloneObjects[S any](objects map[string]*Object[S], clonePointers func(*S)) map[string]*Object[S] {
	if objects == nil {
		return nil
	}
	clones := make(map[string]*Object[S], len(objects))
	for name, o := range objects {
		if o == nil {
			clones[name] = nil
			continue
		}
		c := *o
		c.Status = nil
		c.Conditions = slices.Clone(o.Conditions)
		clonePointers(&c.Spec)
		clones[name] = &c
	}
	return clones
}

func (a Amounts) clone() Amounts {
	return Amounts{Concurrency: clonePtr(a.Concurrency), Rate: clonePtr(a.Rate), Queue: clonePtr(a.Queue)}
}

func clonePtr[T any](p *T) *T {
	if p == nil {
		return nil
	}
	v := *p
	return &v
}

func (d *Document) clearStatus() {
	clearObjectStatus(d.Kinds)
	clearObjectStatus(d.Teams)
	clearObjectStatus(d.Urgencies)
	clearObjectStatus(d.Limits)
	clearObjectStatus(d.Policies)
}

func clearObjectStatus[S any](objects map[string]*Object[S]) {
	for _, o := range objects {
		o.Status = nil
	}
}

// ParseType returns the type with the given plural name, or a NotFound error.
func ParseType(s string) (Type, error) {
	switch t := Type(s); t {
	case TypeKind, TypeTeam, TypeUrgency, TypeLimit, TypePolicy:
		return t, nil
	}
	return "", errors.NotFoundf("resource type %q", fmt.Sprintf("%.40s", s))
}
