package controller

import (
	"context"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

// TestOfferMergedWithLaterEdit guards against the loss of edits that only a
// sidecar still has, because all entry instances were replaced and the store
// was restored to an older state, when another edit is accepted before the
// sidecar offers its copy.
func TestOfferMergedWithLaterEdit(t *testing.T) {
	s := memstore.New(clock.Real{}, time.Hour)
	clk := clock.NewManual(time.Unix(0, 0))
	c := startControllerWithClock(t, clk, s, 1, 0)
	eventually(t, "ready with a pending watch", func() bool { return c.Ready() && s.PendingWatches() == 1 })
	sidecarCopy := c.Document()
	for _, name := range []string{"a", "b"} {
		next, _, err := revision.Apply(sidecarCopy, teamEdit(name, "lost-"+name, 5))
		if err != nil {
			t.Fatal(err)
		}
		sidecarCopy = next
	}
	data, err := resource.Encode(sidecarCopy)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Commit(context.Background(), teamEdit("a", "later", 9)); err != nil {
		t.Fatal(err)
	}
	if err := c.Offer(data); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the edits of both documents are in the store", func() bool {
		clk.Advance(rereadDelay)
		e, err := s.Get(context.Background(), ConfigKey)
		if err != nil {
			return false
		}
		d, err := resource.Decode(e.Value)
		return err == nil && d.Teams["a"] != nil && d.Teams["b"] != nil && d.Revision > sidecarCopy.Revision
	})
	eventually(t, "in force", func() bool { return teamRate(c, "a") == 9 && teamRate(c, "b") == 5 })
	doc := c.Document()
	if err := c.Offer(data); err != nil || c.Document() != doc {
		t.Fatalf("after the second offer of the copy: %v, revision %d, want %d", err, c.Document().Revision, doc.Revision)
	}
}
