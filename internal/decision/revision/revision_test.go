package revision

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// TestMain fixes the seed and the number of cases of the property test, so that
// every run gives the same result. The flags of rapid override both values.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func putTeam(name, id string, rate *int64, allow bool) Edit {
	spec, _ := json.Marshal(resource.TeamSpec{Quota: resource.Amounts{Rate: rate}})
	return Edit{Ref: resource.Ref{Type: resource.TypeTeam, Name: name}, ChangeID: id, Spec: spec, AllowDecrease: allow}
}

func int64Ptr(n int64) *int64 { return &n }

func mustApply(t *testing.T, d *resource.Document, e Edit) *resource.Document {
	t.Helper()
	next, _, err := Apply(d, e)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestDecreaseNeedsFlag guards against edits that lower an amount without
// allowDecrease, for each type of resource that has amounts.
func TestDecreaseNeedsFlag(t *testing.T) {
	kind := Edit{Ref: resource.Ref{Type: resource.TypeKind, Name: "k"}, ChangeID: "k",
		Spec: json.RawMessage(`{"service":"s","urgency":"low","runMs":1,"deadlineMs":9}`)}
	limit := Edit{Ref: resource.Ref{Type: resource.TypeLimit, Name: "l"}, ChangeID: "l",
		Spec: json.RawMessage(`{"kind":"k","amounts":{"queue":5}}`)}
	policy := Edit{Ref: resource.Ref{Type: resource.TypePolicy, Name: "default"}, ChangeID: "p", Spec: json.RawMessage(`{"queueTasks":5}`)}
	base := mustApply(t, mustApply(t, Initial(), kind), putTeam("t", "t", int64Ptr(5), false))
	for _, e := range []Edit{
		putTeam("t", "lower", int64Ptr(4), false), limit, policy,
		{Ref: resource.Ref{Type: resource.TypeTeam, Name: "t"}, ChangeID: "delete", Delete: true},
	} {
		_, _, err := Apply(base, e)
		var refused *DecreaseError
		if !errors.As(err, &refused) || len(refused.Decreases) != 1 {
			t.Errorf("%s without the flag: %v", e.ChangeID, err)
		}
		e.AllowDecrease = true
		next, res, err := Apply(base, e)
		if err != nil || len(res.Decreases) != 1 {
			t.Fatalf("%s with the flag: %+v, %v", e.ChangeID, res, err)
		}
		if team := next.Teams["t"]; e.ChangeID == "lower" {
			c := team.Conditions
			if len(c) != 1 || c[0].Type != ConditionDecreaseAllowed || c[0].Message != "spec.quota.rate 5 -> 4" || team.Metadata.Generation != 2 {
				t.Errorf("conditions %+v, generation %d", c, team.Metadata.Generation)
			}
		}
	}
	mustApply(t, base, putTeam("t", "remove", nil, false)) // A removed limit is no decrease.
}

// TestTypedErrors guards against deletions that leave dangling references, and
// against errors of the wrong type.
func TestTypedErrors(t *testing.T) {
	base := mustApply(t, Initial(), Edit{Ref: resource.Ref{Type: resource.TypeKind, Name: "k"}, ChangeID: "k",
		Spec: json.RawMessage(`{"service":"s","urgency":"low","runMs":1,"deadlineMs":9}`)})
	var inUse *InUseError
	_, _, err := Apply(base, Edit{Ref: resource.Ref{Type: resource.TypeUrgency, Name: "low"}, ChangeID: "d", Delete: true})
	if !errors.As(err, &inUse) || len(inUse.By) != 1 || inUse.By[0].String() != "kinds/k" {
		t.Errorf("deletion of an urgency in use: %v", err)
	}
	_, _, err = Apply(base, Edit{Ref: resource.Ref{Type: resource.TypeTeam, Name: "x"}, ChangeID: "d", Delete: true})
	if !errors.Is(err, errors.NotFound) {
		t.Errorf("deletion of a missing team: %v", err)
	}
	_, _, err = Apply(base, putTeam("x", "n", int64Ptr(-1), false))
	var invalid *resource.ValidationError
	if !errors.As(err, &invalid) {
		t.Errorf("negative rate: %v", err)
	}
	e := putTeam("x", "n", nil, false)
	e.Expected = uint64Ptr(3)
	var conflict *ConflictError
	if _, _, err = Apply(base, e); !errors.As(err, &conflict) || conflict.Current != 0 {
		t.Errorf("expected version of a missing resource: %v", err)
	}
}

func uint64Ptr(n uint64) *uint64 { return &n }

// model simulates a store, two editors that each edit the document they last
// read, and a process that holds the newest accepted document.
type model struct {
	stored  *resource.Document
	history []*resource.Document
	editors [2]*resource.Document
	tracker *Tracker
	// accepted maps the change ID of each acknowledged edit to the edit.
	accepted map[string]Edit
	n        int
}

func (m *model) store(d *resource.Document) {
	m.stored = d
	m.history = append(m.history, d)
}

func (m *model) commit(t *rapid.T) {
	base := m.editors[rapid.IntRange(0, 1).Draw(t, "editor")]
	m.n++
	e := putTeam(fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "team")), fmt.Sprint("c", m.n), int64Ptr(rapid.Int64Range(0, 5).Draw(t, "rate")), rapid.Bool().Draw(t, "allow"))
	next, _, err := Apply(base, e)
	old := base.Teams[e.Ref.Name]
	lowers := old != nil && *old.Spec.Quota.Rate > rateOf(t, e)
	var refused *DecreaseError
	if got := errors.As(err, &refused); got != (lowers && !e.AllowDecrease) {
		t.Fatalf("edit %s of %v: unexpected result %v", e.Spec, old, err)
	}
	if err != nil || base != m.stored {
		return // The edit was refused or the compare-and-swap fails.
	}
	m.store(next)
	m.accepted[e.ChangeID] = e
	if rapid.Bool().Draw(t, "response lost") {
		_, _, err := Apply(m.stored, e)
		var applied *AlreadyAppliedError
		if !errors.As(err, &applied) || applied.Revision != next.Revision {
			t.Fatalf("repeated edit: %v", err)
		}
	}
}

func rateOf(t *rapid.T, e Edit) int64 {
	var s resource.TeamSpec
	if err := json.Unmarshal(e.Spec, &s); err != nil {
		t.Fatal(err)
	}
	return *s.Quota.Rate
}

// reconcile lets the process read the stored document and write back or merge
// what the store lacks.
func (m *model) reconcile(t *rapid.T) {
	before := m.tracker.Held()
	switch m.tracker.Adopt(m.stored) {
	case Older:
		m.stored = m.tracker.Held()
	case Forked:
		merged := Merge(m.tracker.Held(), m.stored)
		if len(merged.Dropped) == 0 {
			m.store(merged.Document)
		} else {
			// Only changes that lower an amount which the held document
			// changed may be dropped.
			for _, ref := range merged.Dropped {
				if *m.stored.Teams[ref.Name].Spec.Quota.Rate >= *before.Teams[ref.Name].Spec.Quota.Rate {
					t.Fatalf("change of %s was dropped although it lowers no amount", ref)
				}
			}
			m.store(merged.Document)
		}
		if v := m.tracker.Adopt(merged.Document); v != Adopted {
			t.Fatalf("verdict on the merged document: %v", v)
		}
	}
	held := m.tracker.Held()
	if before != nil && held.Revision < before.Revision {
		t.Fatalf("revision fell from %d to %d", before.Revision, held.Revision)
	}
	if err := held.Validate(); err != nil {
		t.Fatal(err)
	}
	for id := range m.accepted {
		if _, ok := held.FindChange(id); !ok {
			t.Fatalf("accepted change %s is lost", id)
		}
	}
	m.checkLowered(t, before, held)
}

// checkLowered checks that each amount that became lower has an accepted edit
// with AllowDecrease.
func (m *model) checkLowered(t *rapid.T, before, held *resource.Document) {
	if before == nil {
		return
	}
	for name, old := range before.Teams {
		current := held.Teams[name]
		if current == nil {
			t.Fatalf("team %s is missing", name)
		}
		if *current.Spec.Quota.Rate >= *old.Spec.Quota.Rate {
			continue
		}
		allowed := false
		for _, e := range m.accepted {
			allowed = allowed || e.Ref.Name == name && e.AllowDecrease
		}
		if !allowed {
			t.Fatalf("rate of team %s was lowered from %d to %d without AllowDecrease", name, *old.Spec.Quota.Rate, *current.Spec.Quota.Rate)
		}
	}
}

// TestEditorsAndRestores guards against lost, reverted or silently lowered
// configuration if two editors race, responses are lost, and the store is
// restored to an older state.
func TestEditorsAndRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{tracker: NewTracker(), accepted: map[string]Edit{}}
		m.store(Initial())
		m.editors = [2]*resource.Document{m.stored, m.stored}
		t.Repeat(map[string]func(*rapid.T){
			"read":   func(t *rapid.T) { m.editors[rapid.IntRange(0, 1).Draw(t, "reader")] = m.stored },
			"commit": m.commit,
			"sync":   m.reconcile,
			"restore": func(t *rapid.T) {
				m.reconcile(t) // The process keeps the accepted changes that the restored store lacks.
				m.stored = rapid.SampledFrom(m.history).Draw(t, "state")
			},
		})
		m.reconcile(t)
	})
}

// TestMerge guards against documents of equal revision and different content
// that count as the same, and against merges that lose or lower an accepted
// amount.
func TestMerge(t *testing.T) {
	base := mustApply(t, Initial(), putTeam("t", "c0", int64Ptr(5), false))
	held := mustApply(t, mustApply(t, base, putTeam("t", "h1", int64Ptr(20), false)), putTeam("h", "h2", int64Ptr(1), false))
	stored := mustApply(t, mustApply(t, base, putTeam("t", "s1", int64Ptr(10), false)), putTeam("s", "s2", int64Ptr(2), false))
	tracker := NewTracker()
	tracker.Adopt(held)
	if v := tracker.Adopt(stored); v != Forked {
		t.Fatalf("verdict on the stored document: %v", v)
	}
	got := Merge(held, stored)
	d := got.Document
	if d.Revision != held.Revision+1 || *d.Teams["t"].Spec.Quota.Rate != 20 || d.Teams["h"] == nil || d.Teams["s"] == nil {
		t.Fatalf("merged teams: %+v", d.Teams)
	}
	if len(got.Dropped) != 1 || got.Dropped[0].Name != "t" {
		t.Fatalf("dropped resources: %v", got.Dropped)
	}
}

// TestMergedIsNoAncestor guards against the loss of accepted changes. They
// would be lost if a later state of the stored document alone counted as a
// descendant of the merged document.
func TestMergedIsNoAncestor(t *testing.T) {
	held := mustApply(t, Initial(), putTeam("h", "h1", nil, false))
	stored := mustApply(t, Initial(), putTeam("s", "s1", nil, false))
	tracker := NewTracker()
	tracker.Adopt(held)
	if v := tracker.Adopt(Merge(held, stored).Document); v != Adopted {
		t.Fatalf("verdict on the merged document: %v", v)
	}
	later := mustApply(t, mustApply(t, stored, putTeam("s", "s2", int64Ptr(1), true)), putTeam("s", "s3", int64Ptr(2), true))
	if v := tracker.Adopt(later); v != Forked {
		t.Fatalf("verdict on revision %d, which lacks change h1, after revision %d: %v", later.Revision, tracker.Held().Revision, v)
	}
}

// TestMergeIsDeterministic guards against two processes that merge the same
// documents with different results.
func TestMergeIsDeterministic(t *testing.T) {
	held := mustApply(t, Initial(), putTeam("h", "h1", nil, false))
	stored := mustApply(t, Initial(), putTeam("s", "s1", nil, false))
	a, errA := resource.Encode(Merge(held, stored).Document)
	b, errB := resource.Encode(Merge(held.Clone(), stored.Clone()).Document)
	if errA != nil || errB != nil || string(a) != string(b) {
		t.Fatalf("merged documents differ: %s and %s, errors %v and %v", a, b, errA, errB)
	}
}
