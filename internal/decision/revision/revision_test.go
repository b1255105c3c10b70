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
// each run gives the same verdict; the flags of rapid select others.
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

func num(n int64) *int64 { return &n }

func must(t *testing.T, d *resource.Document, e Edit) *resource.Document {
	t.Helper()
	next, _, err := Apply(d, e)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// Guards against edits that lower an amount without the flag, by any route.
func TestDecreaseNeedsFlag(t *testing.T) {
	kind := Edit{Ref: resource.Ref{Type: resource.TypeKind, Name: "k"}, ChangeID: "k",
		Spec: json.RawMessage(`{"service":"s","urgency":"low","runMs":1,"deadlineMs":9}`)}
	limit := Edit{Ref: resource.Ref{Type: resource.TypeLimit, Name: "l"}, ChangeID: "l",
		Spec: json.RawMessage(`{"kind":"k","amounts":{"queue":5}}`)}
	policy := Edit{Ref: resource.Ref{Type: resource.TypePolicy, Name: "default"}, ChangeID: "p", Spec: json.RawMessage(`{"queueTasks":5}`)}
	base := must(t, must(t, Initial(), kind), putTeam("t", "t", num(5), false))
	for _, e := range []Edit{
		putTeam("t", "lower", num(4), false), limit, policy,
		{Ref: resource.Ref{Type: resource.TypeTeam, Name: "t"}, ChangeID: "delete", Delete: true},
	} {
		_, _, err := Apply(base, e)
		var refused *DecreaseError
		if !errors.As(err, &refused) || len(refused.Lowered) != 1 {
			t.Errorf("%s without the flag: %v", e.ChangeID, err)
		}
		e.AllowDecrease = true
		next, res, err := Apply(base, e)
		if err != nil || len(res.Lowered) != 1 {
			t.Fatalf("%s with the flag: %+v, %v", e.ChangeID, res, err)
		}
		if team := next.Teams["t"]; e.ChangeID == "lower" {
			c := team.Conditions
			if len(c) != 1 || c[0].Type != ConditionDecreaseAllowed || c[0].Message != "spec.quota.rate 5 -> 4" || team.Metadata.Generation != 2 {
				t.Errorf("conditions %+v, generation %d", c, team.Metadata.Generation)
			}
		}
	}
	must(t, base, putTeam("t", "remove", nil, false)) // Removing a limit is a raise.
}

// Guards against deletions that leave dangling references, and errors without
// their types.
func TestTypedErrors(t *testing.T) {
	base := must(t, Initial(), Edit{Ref: resource.Ref{Type: resource.TypeKind, Name: "k"}, ChangeID: "k",
		Spec: json.RawMessage(`{"service":"s","urgency":"low","runMs":1,"deadlineMs":9}`)})
	var inUse *InUseError
	_, _, err := Apply(base, Edit{Ref: resource.Ref{Type: resource.TypeUrgency, Name: "low"}, ChangeID: "d", Delete: true})
	if !errors.As(err, &inUse) || len(inUse.By) != 1 || inUse.By[0].String() != "kinds/k" {
		t.Errorf("delete of a used urgency: %v", err)
	}
	_, _, err = Apply(base, Edit{Ref: resource.Ref{Type: resource.TypeTeam, Name: "x"}, ChangeID: "d", Delete: true})
	if !errors.Is(err, errors.NotFound) {
		t.Errorf("delete of nothing: %v", err)
	}
	_, _, err = Apply(base, putTeam("x", "n", num(-1), false))
	var invalid *resource.ValidationError
	if !errors.As(err, &invalid) {
		t.Errorf("negative rate: %v", err)
	}
	e := putTeam("x", "n", nil, false)
	e.Expected = num2(3)
	var conflict *ConflictError
	if _, _, err = Apply(base, e); !errors.As(err, &conflict) || conflict.Current != 0 {
		t.Errorf("expected version of a missing resource: %v", err)
	}
}

func num2(n uint64) *uint64 { return &n }

// model is a store with editors, of which each works on what it last read, and
// a process that holds the newest accepted document.
type model struct {
	stored  *resource.Document
	history []*resource.Document
	editors [2]*resource.Document
	machine *Machine
	// accepted maps each acknowledged change ID to its edit.
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
	e := putTeam(fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "team")), fmt.Sprint("c", m.n), num(rapid.Int64Range(0, 5).Draw(t, "rate")), rapid.Bool().Draw(t, "allow"))
	next, _, err := Apply(base, e)
	old := base.Teams[e.Ref.Name]
	lowers := old != nil && *old.Spec.Quota.Rate > rateOf(t, e)
	var refused *DecreaseError
	if got := errors.As(err, &refused); got != (lowers && !e.AllowDecrease) {
		t.Fatalf("edit %s on %v: %v", e.Spec, old, err)
	}
	if err != nil || base != m.stored {
		return // Refused, or the compare-and-swap fails.
	}
	m.store(next)
	m.accepted[e.ChangeID] = e
	if rapid.Bool().Draw(t, "answer lost") {
		_, _, err := Apply(m.stored, e)
		var applied *AppliedError
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

// sync lets the holding process see the store and repair it.
func (m *model) sync(t *rapid.T) {
	before := m.machine.Held()
	switch m.machine.Adopt(m.stored) {
	case Older:
		m.stored = m.machine.Held()
	case Forked:
		merged := Merge(m.machine.Held(), m.stored)
		if len(merged.Dropped) == 0 {
			m.store(merged.Document)
		} else {
			// A dropped change would have lowered an amount the held side changed.
			for _, ref := range merged.Dropped {
				if *m.stored.Teams[ref.Name].Spec.Quota.Rate >= *before.Teams[ref.Name].Spec.Quota.Rate {
					t.Fatalf("dropped %s without a decrease", ref)
				}
			}
			m.store(merged.Document)
		}
		if v := m.machine.Adopt(merged.Document); v != Adopted {
			t.Fatalf("merged document: %v", v)
		}
	}
	held := m.machine.Held()
	if before != nil && held.Revision < before.Revision {
		t.Fatalf("revision went from %d to %d", before.Revision, held.Revision)
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

// checkLowered requires an accepted edit with the flag behind each lower amount.
func (m *model) checkLowered(t *rapid.T, before, held *resource.Document) {
	if before == nil {
		return
	}
	for name, old := range before.Teams {
		now := held.Teams[name]
		if now == nil {
			t.Fatalf("team %s is gone", name)
		}
		if *now.Spec.Quota.Rate >= *old.Spec.Quota.Rate {
			continue
		}
		allowed := false
		for _, e := range m.accepted {
			allowed = allowed || e.Ref.Name == name && e.AllowDecrease
		}
		if !allowed {
			t.Fatalf("%s lowered from %d to %d", name, *old.Spec.Quota.Rate, *now.Spec.Quota.Rate)
		}
	}
}

// Guards against lost, reverted or silently lowered configuration with two
// racing editors, lost answers, and a store that goes back.
func TestEditorsAndRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{machine: NewMachine(), accepted: map[string]Edit{}}
		m.store(Initial())
		m.editors = [2]*resource.Document{m.stored, m.stored}
		t.Repeat(map[string]func(*rapid.T){
			"read":   func(t *rapid.T) { m.editors[rapid.IntRange(0, 1).Draw(t, "reader")] = m.stored },
			"commit": m.commit,
			"sync":   m.sync,
			"restore": func(t *rapid.T) {
				m.sync(t) // An accepted change lives on in the process that holds it.
				m.stored = rapid.SampledFrom(m.history).Draw(t, "state")
			},
		})
		m.sync(t)
	})
}

// Guards against equal revisions of different content that pass for the same,
// and against merges that lose or lower an accepted amount.
func TestMerge(t *testing.T) {
	base := must(t, Initial(), putTeam("t", "c0", num(5), false))
	held := must(t, must(t, base, putTeam("t", "h1", num(20), false)), putTeam("h", "h2", num(1), false))
	stored := must(t, must(t, base, putTeam("t", "s1", num(10), false)), putTeam("s", "s2", num(2), false))
	m := NewMachine()
	m.Adopt(held)
	if v := m.Adopt(stored); v != Forked {
		t.Fatalf("verdict %v", v)
	}
	got := Merge(held, stored)
	d := got.Document
	if d.Revision != held.Revision+1 || *d.Teams["t"].Spec.Quota.Rate != 20 || d.Teams["h"] == nil || d.Teams["s"] == nil {
		t.Fatalf("merged %+v", d.Teams)
	}
	if len(got.Dropped) != 1 || got.Dropped[0].Name != "t" {
		t.Fatalf("dropped %v", got.Dropped)
	}
}

// Guards against accepted changes that are lost because a later state of the
// stored side alone passes for a descendant of the merged document.
func TestMergedIsNoAncestor(t *testing.T) {
	held := must(t, Initial(), putTeam("h", "h1", nil, false))
	stored := must(t, Initial(), putTeam("s", "s1", nil, false))
	m := NewMachine()
	m.Adopt(held)
	if v := m.Adopt(Merge(held, stored).Document); v != Adopted {
		t.Fatalf("merged document: %v", v)
	}
	later := must(t, must(t, stored, putTeam("s", "s2", num(1), true)), putTeam("s", "s3", num(2), true))
	if v := m.Adopt(later); v != Forked {
		t.Fatalf("revision %d without h1 after revision %d: %v", later.Revision, m.Held().Revision, v)
	}
}

// Guards against two processes that merge the same documents differently.
func TestMergeIsDeterministic(t *testing.T) {
	held := must(t, Initial(), putTeam("h", "h1", nil, false))
	stored := must(t, Initial(), putTeam("s", "s1", nil, false))
	a, errA := resource.Encode(Merge(held, stored).Document)
	b, errB := resource.Encode(Merge(held.Clone(), stored.Clone()).Document)
	if errA != nil || errB != nil || string(a) != string(b) {
		t.Fatalf("%s and %s, %v, %v", a, b, errA, errB)
	}
}
