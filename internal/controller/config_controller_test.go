package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const waitTimeout = 20 * time.Second

// eventually waits until holds returns true; it fails the test after
// waitTimeout.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", condition)
		}
	}
}

// startController runs a controller until the test ends.
func startController(t *testing.T, s store.Store, seed uint64, timeout time.Duration) *ConfigController {
	t.Helper()
	return startControllerWithClock(t, clock.Real{}, s, seed, timeout)
}

func startControllerWithClock(t *testing.T, clk clock.Clock, s store.Store, seed uint64, timeout time.Duration) *ConfigController {
	t.Helper()
	c := NewConfigController(ConfigOptions{Store: s, Clock: clk, Rand: rand.New(rand.NewPCG(seed, 0)), Log: t.Logf, CommitTimeout: timeout})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

// teamEdit returns an edit that sets the rate of a team's quota.
func teamEdit(name, id string, rate int) revision.Edit {
	spec := json.RawMessage(fmt.Sprintf(`{"quota":{"rate":%d}}`, rate))
	return revision.Edit{Ref: resource.Ref{Type: resource.TypeTeam, Name: name}, ChangeID: id, Spec: spec}
}

// teamRate returns the rate of a team's quota, or -1 if the controller has no
// such team.
func teamRate(c *ConfigController, name string) int64 {
	d := c.Document()
	if d == nil || d.Teams[name] == nil {
		return -1
	}
	return *d.Teams[name].Spec.Quota.Rate
}

// TestEditsReachAllInstances guards against instances that start without a
// document, create it twice, or miss each other's edits.
func TestEditsReachAllInstances(t *testing.T) {
	s := memstore.New(clock.Real{}, 0)
	a, b := startController(t, s, 1, 0), startController(t, s, 2, 0)
	eventually(t, "both ready", func() bool { return a.Ready() && b.Ready() })
	var mu sync.Mutex
	var seen []uint64
	defer b.Subscribe(func(d *resource.Document) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, d.Revision)
	})()
	var wg sync.WaitGroup
	for i := range 10 {
		for n, c := range []*ConfigController{a, b} {
			wg.Go(func() {
				name := fmt.Sprintf("t%d-%d", i, n)
				if _, err := c.Commit(context.Background(), teamEdit(name, "id-"+name, i)); err != nil {
					t.Error(err)
				}
			})
		}
	}
	wg.Wait()
	eventually(t, "revision 21 in force at both", func() bool {
		return a.Revisions().InForce == 21 && b.Revisions().InForce == 21 && len(b.Document().Teams) == 20
	})
	mu.Lock()
	defer mu.Unlock()
	for i := 1; i < len(seen); i++ {
		if seen[i] <= seen[i-1] {
			t.Fatalf("a subscriber received the revisions %v", seen)
		}
	}
}

// TestLostResponses guards against an edit that is applied twice or reported as
// refused because a response of the store was lost.
func TestLostResponses(t *testing.T) {
	s := memstore.New(clock.Real{}, 0)
	c := startController(t, s, 1, 0)
	eventually(t, "ready", c.Ready)
	s.DropResponses(1)
	res, err := c.Commit(context.Background(), teamEdit("a", "c1", 5))
	if err != nil || res.Revision != 2 {
		t.Fatalf("response lost: %+v, %v", res, err)
	}
	s.DropRequests(1)
	if res, err = c.Commit(context.Background(), teamEdit("a", "c2", 6)); err != nil || res.Revision != 3 {
		t.Fatalf("request lost: %+v, %v", res, err)
	}
	if res, err = c.Commit(context.Background(), teamEdit("a", "c1", 5)); err != nil || res.Revision != 2 || teamRate(c, "a") != 6 {
		t.Fatalf("repeated change: %+v, %v, rate %d", res, err, teamRate(c, "a"))
	}
}

// unavailableAfterLostResponse makes the store unavailable as soon as the
// response to a write is lost.
type unavailableAfterLostResponse struct{ *memstore.Store }

func (d unavailableAfterLostResponse) CompareAndSwap(ctx context.Context, k string, v []byte, ver uint64, l store.LeaseID) (uint64, error) {
	ver, err := d.Store.CompareAndSwap(ctx, k, v, ver, l)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		d.SetDown(true)
	}
	return ver, err
}

// TestUnknownOutcome guards against an edit that is reported as accepted or
// refused although its outcome is unknown, and against an edit that is reported
// as unknown although it certainly had no effect.
func TestUnknownOutcome(t *testing.T) {
	s := memstore.New(clock.Real{}, 0)
	c := startController(t, unavailableAfterLostResponse{s}, 1, 100*time.Millisecond)
	eventually(t, "ready", c.Ready)
	s.DropResponses(1)
	_, err := c.Commit(context.Background(), teamEdit("a", "c1", 5))
	var unknown *OutcomeUnknownError
	if !errors.As(err, &unknown) || unknown.ChangeID != "c1" {
		t.Fatalf("error %v, want unknown", err)
	}
	if _, err = c.Commit(context.Background(), teamEdit("b", "c2", 5)); !errors.Is(err, store.ErrUnavailable) || errors.As(err, &unknown) && unknown.ChangeID == "c2" {
		t.Fatalf("store down: %v, want unavailable", err)
	}
	s.SetDown(false)
	eventually(t, "the edit is in force", func() bool { return teamRate(c, "a") == 5 })
	if teamRate(c, "b") != -1 {
		t.Fatal("a refused edit was accepted")
	}
}

// TestConditionalEdit guards against a conditional edit that overwrites another
// edit, and against an edit that is refused because of a change to another
// resource.
func TestConditionalEdit(t *testing.T) {
	s := memstore.New(clock.Real{}, 0)
	a, b := startController(t, s, 1, 0), startController(t, s, 2, 0)
	eventually(t, "ready", func() bool { return a.Ready() && b.Ready() })
	ctx := context.Background()
	res, err := a.Commit(ctx, teamEdit("a", "c1", 5))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Commit(ctx, teamEdit("other", "c2", 5)); err != nil {
		t.Fatal(err)
	}
	e := teamEdit("a", "c3", 6)
	e.Expected = &res.Revision
	if _, err := a.Commit(ctx, e); err != nil {
		t.Fatalf("after a change to another resource: %v", err)
	}
	e.ChangeID = "c4"
	var conflict *revision.ConflictError
	if _, err := b.Commit(ctx, e); !errors.As(err, &conflict) || conflict.Current != 4 {
		t.Fatalf("stale version: %v", err)
	}
}

// TestDocumentFromPeerDuringOutage guards against a process that can't start
// during an outage of the store, and against an invalid document that replaces
// a valid one.
func TestDocumentFromPeerDuringOutage(t *testing.T) {
	s := memstore.New(clock.Real{}, 0)
	s.SetDown(true)
	c := startController(t, s, 1, 50*time.Millisecond)
	if c.Ready() {
		t.Fatal("ready without a document")
	}
	next, _, err := revision.Apply(revision.Initial(), teamEdit("a", "c1", 5))
	if err != nil {
		t.Fatal(err)
	}
	data, err := resource.Encode(next)
	if err != nil {
		t.Fatal(err)
	}
	if !c.ObserveRevision(2) {
		t.Fatal("not behind revision 2")
	}
	if err := c.Offer(data); err != nil || teamRate(c, "a") != 5 {
		t.Fatalf("offer: %v", err)
	}
	bad := strings.Replace(string(data), `"revision":2`, `"revision":9,"typo":1`, 1)
	if err := c.Offer([]byte(bad)); !errors.Is(err, errors.NotValid) || teamRate(c, "a") != 5 {
		t.Fatalf("invalid offer: %v", err)
	}
	if r := c.Revisions(); r != (wire.Revisions{Known: 2, InForce: 2, Rejected: 9}) {
		t.Fatalf("revisions %+v", r)
	}
	if p := c.Pull(wire.PullRequest{HaveRevision: 1}); p.Revision != 2 || string(p.Document) != string(data) {
		t.Fatalf("pull: %+v", p)
	}
	s.SetDown(false)
	eventually(t, "the document of the peer is in the empty store", func() bool {
		e, err := s.Get(context.Background(), ConfigKey)
		return err == nil && resource.PeekRevision(e.Value) == 2
	})
}
