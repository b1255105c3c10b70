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

// TestSeveralEntries guards against idle credits that are not spread over
// the entry instances, and against one that fails keeping its part.
func TestSeveralEntries(t *testing.T) {
	a, b := newEntry(t, "entry-a"), newEntry(t, "entry-b")
	a.others, b.others = []wire.Peer{b.peer}, []wire.Peer{a.peer}
	// The second is learned from the first.
	newWorld(t, nil, a)
	for _, e := range []*fakeEntry{a, b} {
		e.wait("two credits", func() bool { return e.lastBeat.HeldCredits == 2 && len(e.grants) >= 2 })
	}
	a.server.Close()
	b.wait("all credits", func() bool { return b.lastBeat.HeldCredits == 4 && b.lastBeat.CreditsElsewhere == 0 })
}

// TestUnwantedEntry guards against a sidecar that stays attached to more entry
// instances than it should, or that leaves one without telling it.
func TestUnwantedEntry(t *testing.T) {
	a, b := newEntry(t, "entry-a"), newEntry(t, "entry-b")
	a.others, b.others = []wire.Peer{b.peer}, []wire.Peer{a.peer}
	w := newWorldOf(t, sidecar.Config{Instance: "sidecar-1", Attachments: 1, JoinDelay: time.Millisecond, CreditTTL: time.Hour}, nil, a, b)
	state := func() (st sidecar.State) {
		resp, err := http.Get("http://" + w.sidecar.OperatorAddr() + "/v1/state")
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
	for limit := time.Now().Add(waitLimit); len(st.Entries) != 1 || st.Entries[0].Credits != 4; st = state() {
		if time.Now().After(limit) {
			t.Fatalf("links %+v", st.Entries)
		}
	}
	chosen, other := a, b
	if st.Entries[0].Process == b.peer.Process {
		chosen, other = b, a
	}
	chosen.wait("credits", func() bool { return chosen.lastBeat.HeldCredits == 4 && !chosen.lastBeat.Leaving })
	other.wait("leaving beat", func() bool { return other.lastBeat.Leaving || other.attaches == 0 })
}

// TestEntryRestarts guards against a sidecar that goes on with the old
// incarnation of an entry instance, or that gives it results of the old one.
func TestEntryRestarts(t *testing.T) {
	e := newEntry(t, "entry-1")
	w := newWorld(t, nil, e)
	credit := e.take()
	old := e.submission("a")
	e.update(func() {
		e.peer.Process.Incarnation++
		e.grants = nil
	})
	e.wait("second attach", func() bool { return e.lastBeat.Entry == e.peer.Process && len(e.grants) > 0 })
	if code := w.dispatch(e, credit, old, `{}`); code == wire.Accepted {
		t.Fatal("a credit of the old incarnation was accepted")
	}
	if code := w.dispatch(e, e.take(), e.submission("a"), `{}`); code != wire.Accepted {
		t.Fatalf("dispatch of the new incarnation: code %d", code)
	}
	e.wait("result", func() bool { return len(e.results) == 1 && e.results[0].State == jobapi.TaskCompleted })
}

// TestBadFrame guards against garbage on the internal port that disturbs
// others, and against a slow client that holds a connection of the local port.
func TestBadFrame(t *testing.T) {
	e := newEntry(t, "entry-1")
	w := newWorld(t, nil, e)
	conn, err := net.Dial("tcp", w.sidecar.InternalAddr())
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
	slow, err := net.Dial("tcp", w.sidecar.LocalAddr())
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
	if code := w.dispatch(e, e.take(), e.submission("a"), `{}`); code != wire.Accepted {
		t.Fatalf("dispatch after garbage: code %d", code)
	}
}

// TestOperator guards against an operator port that doesn't show the state or
// doesn't drain.
func TestOperator(t *testing.T) {
	e := newEntry(t, "entry-1")
	w := newWorld(t, nil, e)
	e.take()
	base := "http://" + w.sidecar.OperatorAddr()
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
	e.wait("leaving beat", func() bool { return e.lastBeat.Leaving })
}
