package sidecar_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestCreditsAcrossEntries guards against idle credits that are not spread over the
// entry instances, and against a failed entry instance that keeps its credits.
func TestCreditsAcrossEntries(t *testing.T) {
	a, b := newFakeEntry(t, "entry-a"), newFakeEntry(t, "entry-b")
	a.otherEntries, b.otherEntries = []wire.Peer{b.peer}, []wire.Peer{a.peer}
	// The sidecar learns of the second entry instance from the first.
	newFixture(t, nil, a)
	for _, e := range []*fakeEntry{a, b} {
		e.waitFor("two credits", func() bool { return e.lastHeartbeat.HeldCredits == 2 && len(e.grants) >= 2 })
	}
	a.server.Close()
	b.waitFor("all credits", func() bool { return b.lastHeartbeat.HeldCredits == 4 && b.lastHeartbeat.CreditsElsewhere == 0 })
}

// TestAttachmentLimit guards against a sidecar that stays attached to more entry
// instances than Attachments, or that detaches from one without telling it.
func TestAttachmentLimit(t *testing.T) {
	a, b := newFakeEntry(t, "entry-a"), newFakeEntry(t, "entry-b")
	a.otherEntries, b.otherEntries = []wire.Peer{b.peer}, []wire.Peer{a.peer}
	fx := newFixtureWithConfig(t, sidecar.Config{Instance: "sidecar-1", Attachments: 1, JoinDelay: time.Millisecond, CreditTTL: time.Hour}, nil, a, b)
	state := func() (st sidecar.State) {
		resp, err := http.Get("http://" + fx.sidecar.OperatorAddr() + "/v1/state")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
			t.Fatal(err)
		}
		return st
	}
	var st sidecar.State
	for deadline := time.Now().Add(waitTimeout); len(st.Entries) != 1 || st.Entries[0].Credits != 4; st = state() {
		if time.Now().After(deadline) {
			t.Fatalf("links %+v", st.Entries)
		}
	}
	chosen, other := a, b
	if st.Entries[0].Process == b.peer.Process {
		chosen, other = b, a
	}
	chosen.waitFor("credits", func() bool { return chosen.lastHeartbeat.HeldCredits == 4 && !chosen.lastHeartbeat.Leaving })
	other.waitFor("leaving heartbeat", func() bool { return other.lastHeartbeat.Leaving || other.attachCalls == 0 })
}

// TestEntryRestart guards against a sidecar that stays attached to the old incarnation of
// a restarted entry instance, or that accepts its credits.
func TestEntryRestart(t *testing.T) {
	e := newFakeEntry(t, "entry-1")
	fx := newFixture(t, nil, e)
	credit := e.takeCredit()
	oldSubmission := e.submissionID("a")
	e.update(func() {
		e.peer.Process.Incarnation++
		e.grants = nil
	})
	e.waitFor("second attach", func() bool { return e.lastHeartbeat.Entry == e.peer.Process && len(e.grants) > 0 })
	if code := fx.dispatch(e, credit, oldSubmission, `{}`); code == wire.Accepted {
		t.Fatal("a credit of the old incarnation was accepted")
	}
	if code := fx.dispatch(e, e.takeCredit(), e.submissionID("a"), `{}`); code != wire.Accepted {
		t.Fatalf("dispatch of the new incarnation: code %d", code)
	}
	e.waitFor("result", func() bool { return len(e.results) == 1 && e.results[0].State == jobapi.TaskCompleted })
}

// TestMalformedFrame guards against a malformed frame on the internal port that affects
// other connections, and against a slow client that keeps a connection of the local port
// open.
func TestMalformedFrame(t *testing.T) {
	e := newFakeEntry(t, "entry-1")
	fx := newFixture(t, nil, e)
	conn, err := net.Dial("tcp", fx.sidecar.InternalAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("\xff\xff\xff\xffgarbage")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatalf("the connection was not closed: %v", err)
	}
	slow, err := net.Dial("tcp", fx.sidecar.LocalAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if _, err := slow.Write([]byte("POST /v1/announce HTTP/1.1\r\nContent-Length: 100\r\n\r\n{")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(bufio.NewReader(slow)); err != nil {
		t.Fatalf("the slow connection was not closed: %v", err)
	}
	if code := fx.dispatch(e, e.takeCredit(), e.submissionID("a"), `{}`); code != wire.Accepted {
		t.Fatalf("dispatch after the malformed frame: code %d", code)
	}
}

// TestOperatorAPI guards against an operator API that does not report the state, does not
// serve metrics or does not start a drain.
func TestOperatorAPI(t *testing.T) {
	e := newFakeEntry(t, "entry-1")
	fx := newFixture(t, nil, e)
	e.takeCredit()
	base := "http://" + fx.sidecar.OperatorAddr()
	resp, err := http.Get(base + "/v1/state")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var st sidecar.State
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		t.Fatal(err)
	}
	if st.Slots != 4 || st.Credits != 4 || len(st.Entries) != 1 || st.Entries[0].Process != e.peer.Process || st.Backend.Name != "backend-1" {
		t.Fatalf("state %+v", st)
	}
	scrape, err := http.Get(base + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	scrape.Body.Close()
	if scrape.StatusCode != http.StatusOK {
		t.Fatalf("metrics: status %d", scrape.StatusCode)
	}
	drain, err := http.Post(base+"/v1/drain", "application/json", nil)
	if err != nil {
		t.Fatal(err)
	}
	drain.Body.Close()
	e.waitFor("leaving heartbeat", func() bool { return e.lastHeartbeat.Leaving })
}
