// Package membership decides which processes are live. It counts silence on
// the observer's own clock, so that clocks of different machines don't matter.
package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// State is the state of a member.
type State uint8

// States of a member.
const (
	// Live members were heard from within the silence bound.
	Live State = iota
	// Silent members were not, but may come back.
	Silent
	// Dead members are gone for good: their incarnation never returns.
	Dead
)

// Config holds the bounds of a Table.
type Config struct {
	// SilentAfter is the silence after which a member is Silent.
	SilentAfter time.Duration
	// DeadAfter is the silence after which a member is Dead; it is at least
	// SilentAfter.
	DeadAfter time.Duration
	// Retain is how long a Dead member is remembered.
	Retain time.Duration
	// MayReturn allows an incarnation that was given up after a silence to be
	// used again, as long as no newer one of the instance has been seen. It
	// must be false where a death is acted on in a way that can't be undone.
	MayReturn bool
}

// Member is one incarnation of a process.
type Member struct {
	Peer wire.Peer
	// Rack of the worker; empty for entry instances.
	Rack string
	// Since is when the incarnation was first heard of.
	Since time.Duration
	// FirstWindow and LastWindow are the submission windows that an entry
	// instance named first and last.
	FirstWindow, LastWindow uint64
	// Seen is when it was last heard from, and Changed when State changed.
	Seen, Changed time.Duration
	State         State
}

// Transition is a change of a member's state.
type Transition struct {
	Member Member
	From   State
}

// Table tracks the incarnations of one kind of process. It belongs to one
// goroutine.
type Table struct {
	cfg     Config
	members map[ident.Process]*Member
	// current is the newest incarnation of each instance name.
	current map[string]ident.Process
	events  []Transition
	hash    uint64
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, members: map[ident.Process]*Member{}, current: map[string]ident.Process{}}
}

// Seen notes a sign of life that came from the process itself. It returns
// false for an incarnation that is dead and must not be used again.
func (t *Table) Seen(now time.Duration, p wire.Peer, rack string, window uint64) bool {
	m := t.members[p.Process]
	if m != nil && m.State == Dead && !(t.cfg.MayReturn && t.current[p.Process.Instance] == p.Process) {
		return false
	}
	if m == nil {
		t.replace(now, p.Process)
		m = &Member{Since: now, Changed: now, FirstWindow: window, State: Live}
		t.members[p.Process] = m
		t.current[p.Process.Instance] = p.Process
	}
	m.Peer, m.Rack, m.Seen = p, rack, now
	m.LastWindow = max(m.LastWindow, window)
	if m.State != Live {
		t.move(now, m, Live)
	}
	t.hash = 0
	return true
}

// replace declares the earlier incarnation of the same instance dead.
func (t *Table) replace(now time.Duration, p ident.Process) {
	old, ok := t.current[p.Instance]
	if !ok || old == p {
		return
	}
	t.Kill(now, old)
}

// Kill declares an incarnation dead, for example because a newer one has
// taken its place or because a peer has declared it dead.
func (t *Table) Kill(now time.Duration, p ident.Process) {
	m := t.members[p]
	if m == nil {
		m = &Member{Peer: wire.Peer{Process: p}, Since: now, Seen: now, State: Live}
		t.members[p] = m
	}
	if m.State != Dead {
		t.move(now, m, Dead)
	}
}

func (t *Table) move(now time.Duration, m *Member, to State) {
	from := m.State
	m.State, m.Changed = to, now
	t.events = append(t.events, Transition{Member: *m, From: from})
	t.hash = 0
}

// Tick applies the silence bounds and forgets members that are dead for long.
func (t *Table) Tick(now time.Duration) {
	for p, m := range t.members {
		silence := now - m.Seen
		switch {
		case m.State == Dead:
			if now-m.Changed > t.cfg.Retain {
				t.forget(p)
			}
		case silence > t.cfg.DeadAfter:
			t.move(now, m, Dead)
		case silence > t.cfg.SilentAfter && m.State == Live:
			t.move(now, m, Silent)
		}
	}
}

func (t *Table) forget(p ident.Process) {
	delete(t.members, p)
	if t.current[p.Instance] == p {
		delete(t.current, p.Instance)
	}
}

// Events drains the state changes since the last call.
func (t *Table) Events() []Transition {
	e := t.events
	t.events = nil
	sort.Slice(e, func(i, j int) bool { return e[i].Member.Peer.Process.String() < e[j].Member.Peer.Process.String() })
	return e
}

// Get returns a member.
func (t *Table) Get(p ident.Process) (Member, bool) {
	m := t.members[p]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// In returns the members in a state, sorted by process.
func (t *Table) In(s State) []Member {
	var out []Member
	for _, m := range t.members {
		if m.State == s {
			out = append(out, *m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i].Peer.Process, out[j].Peer.Process) })
	return out
}

func less(a, b ident.Process) bool {
	if a.Instance != b.Instance {
		return a.Instance < b.Instance
	}
	return a.Incarnation < b.Incarnation
}

// Hash identifies the set of live incarnations; it is never zero.
func (t *Table) Hash() uint64 {
	if t.hash != 0 {
		return t.hash
	}
	h := uint64(1)
	for p, m := range t.members {
		if m.State == Live {
			h += xxhash.Sum64String(p.String())
		}
	}
	if h == 0 {
		h = 1
	}
	t.hash = h
	return h
}
