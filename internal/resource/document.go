package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/juju/errors"
)

// MaxDocument is the largest encoded document in bytes. It stays below the
// store's limit of 1 MiB for a value, so that a service that counts its own
// envelope accepts it too.
const MaxDocument = 960 << 10

// ErrTooLarge means that a document or a request is above its size limit.
const ErrTooLarge = errors.ConstError("too large")

// Names of the default resources.
const (
	UrgencyCritical = "critical"
	UrgencyHigh     = "high"
	UrgencyNormal   = "normal"
	UrgencyLow      = "low"
	PolicyDefault   = "default"
)

// Default returns the document of a new installation: four urgencies and the
// policy "default", under revision 0.
func Default() *Document {
	d := &Document{Format: Format, Urgencies: map[string]*Urgency{}, Policies: map[string]*Policy{}}
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

// DecodeStrict decodes one JSON value and rejects unknown fields and trailing
// data. Errors satisfy errors.IsNotValid.
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

// Decode decodes and validates a document. Errors satisfy errors.IsNotValid or
// are ErrTooLarge.
func Decode(data []byte) (*Document, error) {
	if len(data) > MaxDocument {
		return nil, errors.Annotatef(ErrTooLarge, "document of %d bytes (at most %d)", len(data), MaxDocument)
	}
	d := &Document{}
	if err := DecodeStrict(data, d); err != nil {
		return nil, errors.Annotate(err, "document")
	}
	if err := d.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	d.dropStatus()
	return d, nil
}

// Encode returns the JSON form of a document. It returns ErrTooLarge if the
// document is above MaxDocument.
func Encode(d *Document) ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Annotate(err, "document")
	}
	if len(data) > MaxDocument {
		return nil, errors.Annotatef(ErrTooLarge, "document of %d bytes (at most %d)", len(data), MaxDocument)
	}
	return data, nil
}

// PeekRevision returns the revision of a document that may be invalid, or 0.
func PeekRevision(data []byte) uint64 {
	var d struct {
		Revision uint64 `json:"revision"`
	}
	if len(data) > MaxDocument || json.Unmarshal(data, &d) != nil {
		return 0
	}
	return d.Revision
}

// Clone returns a deep copy.
func (d *Document) Clone() *Document {
	c := *d
	c.Kinds = cloneMap(d.Kinds, func(*KindSpec) {})
	c.Teams = cloneMap(d.Teams, func(s *TeamSpec) { s.Quota = s.Quota.clone() })
	c.Urgencies = cloneMap(d.Urgencies, func(*UrgencySpec) {})
	c.Limits = cloneMap(d.Limits, func(s *LimitSpec) { s.Amounts = s.Amounts.clone() })
	c.Policies = cloneMap(d.Policies, func(s *PolicySpec) {
		s.ReserveSlots, s.RetryPercent = clonePtr(s.ReserveSlots), clonePtr(s.RetryPercent)
		s.EjectPercent, s.QueueTasks = clonePtr(s.EjectPercent), clonePtr(s.QueueTasks)
	})
	c.Changes = slices.Clone(d.Changes)
	return &c
}

// cloneMap copies the objects; deepen replaces the pointers of a copied spec.
func cloneMap[S any](all map[string]*Object[S], deepen func(*S)) map[string]*Object[S] {
	if all == nil {
		return nil
	}
	out := make(map[string]*Object[S], len(all))
	for name, o := range all {
		if o == nil {
			out[name] = nil
			continue
		}
		c := *o
		c.Status = nil
		c.Conditions = slices.Clone(o.Conditions)
		deepen(&c.Spec)
		out[name] = &c
	}
	return out
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

func (d *Document) dropStatus() {
	dropStatus(d.Kinds)
	dropStatus(d.Teams)
	dropStatus(d.Urgencies)
	dropStatus(d.Limits)
	dropStatus(d.Policies)
}

func dropStatus[S any](all map[string]*Object[S]) {
	for _, o := range all {
		o.Status = nil
	}
}

// ParseType returns the type with the given plural name.
func ParseType(s string) (Type, error) {
	switch t := Type(s); t {
	case TypeKind, TypeTeam, TypeUrgency, TypeLimit, TypePolicy:
		return t, nil
	}
	return "", errors.NotFoundf("resource type %q", fmt.Sprintf("%.40s", s))
}
