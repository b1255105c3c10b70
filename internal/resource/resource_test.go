package resource

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/store"
)

func sample() *Document {
	d := Default()
	d.Revision = 7
	n := int64(5)
	d.Kinds = map[string]*Kind{"check": {Metadata: Metadata{Name: "check", Generation: 1, ResourceVersion: 7},
		Spec: KindSpec{Service: "rosters", Urgency: UrgencyLow, RunMs: 100, DeadlineMs: 5000}}}
	d.Teams = map[string]*Team{"torno": {Metadata: Metadata{Name: "torno", Generation: 1}, Spec: TeamSpec{Quota: Amounts{Rate: &n}}}}
	d.Limits = map[string]*Limit{"l": {Metadata: Metadata{Name: "l", Generation: 1}, Spec: LimitSpec{Kind: "check", Team: "torno", Amounts: Amounts{Queue: &n}}}}
	d.Changes = []Change{{ID: "c1", Revision: 7}}
	return d
}

// Guards against a default or sample document that fails validation or changes
// when it is encoded and decoded.
func TestValidDocuments(t *testing.T) {
	for _, d := range []*Document{Default(), sample()} {
		data, err := Encode(d)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, d) {
			t.Fatalf("decoded %+v, want %+v", got, d)
		}
	}
	if MaxDocumentBytes >= store.MaxValueBytes {
		t.Fatal("MaxDocumentBytes is not below the store's limit")
	}
}

// Guards against a validation that stops at the first problem, or that omits
// the resource, the field, the value or the allowed range from its message.
func TestValidateReportsAllProblems(t *testing.T) {
	bad := int64(-1)
	cases := []struct {
		change func(d *Document)
		want   string
	}{
		{func(d *Document) { d.Kinds["check"].Spec.RunMs = 0 }, "kinds/check: spec.runMs is 0, allowed is 1 to 600000"},
		{func(d *Document) { d.Kinds["check"].Spec.DeadlineMs = 1 }, "kinds/check: spec.deadlineMs is 1, allowed is 100 to 3600000"},
		{func(d *Document) { d.Kinds["check"].Spec.Urgency = "none" }, `kinds/check: spec.urgency is "none", allowed is the name of an existing urgency`},
		{func(d *Document) { d.Teams["torno"].Spec.Quota.Rate = &bad }, "teams/torno: spec.quota.rate is -1, allowed is 0 to 1000000"},
		{func(d *Document) { d.Teams["torno"].Spec.Weight = 1e9 }, "teams/torno: spec.weight is 1e+09, allowed is 0.01 to 1000"},
		{func(d *Document) { d.Urgencies["low"].Spec.Weight = 0 }, "urgencies/low: spec.weight is 0, allowed is 0.01 to 1000"},
		{func(d *Document) { d.Limits["l"].Spec.Team = "x" }, `limits/l: spec.team is "x"`},
		{func(d *Document) { d.Limits["l"].Spec.Amounts = Amounts{} }, `limits/l: spec.amounts is "empty", allowed is at least one of concurrency, rate and queue`},
		{func(d *Document) { d.Limits["a b"] = nil }, `limits/a b: metadata.name is "a b"`},
		{func(d *Document) { d.Policies["default"].Spec.QueueTasks = &bad }, "policies/default: spec.queueTasks is -1, allowed is 1 to 10000000"},
		{func(d *Document) { d.Format = 2 }, "document: format is 2, allowed is 1"},
		{func(d *Document) { d.Changes[0].Revision = 8 }, "document: changes[0].revision is 8, allowed is 0 to 7"},
	}
	all := sample()
	for _, c := range cases {
		d := sample()
		c.change(d)
		if err := d.Validate(); err == nil || !strings.Contains(err.Error(), c.want) || !errors.Is(err, errors.NotValid) {
			t.Errorf("error %v, want %s", err, c.want)
		}
		c.change(all)
	}
	var invalid *ValidationError
	if err := all.Validate(); !errors.As(err, &invalid) || len(invalid.Problems) < len(cases) {
		t.Errorf("all problems together: %v", err)
	}
}

// Guards against a clone that shares data with the published document, so that
// an edit of the clone changes the document.
func TestCloneIsDeep(t *testing.T) {
	d := sample()
	before, _ := json.Marshal(d)
	c := d.Clone()
	*c.Teams["torno"].Spec.Quota.Rate = 99
	*c.Limits["l"].Spec.Amounts.Queue = 99
	c.Kinds["check"].Spec.RunMs = 99
	c.Changes[0].ID = "other"
	delete(c.Urgencies, "low")
	if after, _ := json.Marshal(d); string(after) != string(before) {
		t.Fatalf("original changed to %s", after)
	}
}

// Guards against a decoder that silently ignores unknown fields or trailing data.
func TestDecodeIsStrict(t *testing.T) {
	for _, in := range []string{`{"format":1,"typo":1}`, `{"format":1} {}`, `{"format":1,"kinds":{"a":{"spec":{"runMS2":1}}}}`, `[]`, ``} {
		if _, err := Decode([]byte(in)); !errors.Is(err, errors.NotValid) {
			t.Errorf("%s: error %v", in, err)
		}
	}
	if _, err := Decode(make([]byte, MaxDocumentBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("large document: %v", err)
	}
}

// FuzzDecode guards against a panic on untrusted input, and against a document
// that Decode accepts but that it rejects after the document was encoded again.
func FuzzDecode(f *testing.F) {
	data, _ := Encode(sample())
	f.Add(data)
	f.Add([]byte(`{"format":1,"revision":3,"kinds":{"a":null}}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		d, err := Decode(in)
		if err != nil {
			return
		}
		out, err := Encode(d)
		if errors.Is(err, ErrTooLarge) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(out)
		if err != nil {
			t.Fatalf("second decoding: %v", err)
		}
		// The encoding omits empty maps, so the test compares encodings, not documents.
		if twice, err := Encode(again); err != nil || string(twice) != string(out) {
			t.Fatalf("second encoding %s, first %s, %v", twice, out, err)
		}
	})
}
