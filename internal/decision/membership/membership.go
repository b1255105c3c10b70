// Package membership decides which processes are live. It measures the time
// since the last contact on the observer's own clock, so that differences between
// the clocks of machines have no effect.
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
	// Live members have been in contact within Config.SilentAfter.
	Live State = iota
	// Silent members have been out of contact for longer than Config.SilentAfter,
	// but may return.
	Silent
	// Dead members are considered lost. Their incarnation never returns, unless
	// Config.MayReturn is set.
	Dead
)

// Config holds the settings of a Table.
type Config struct {
	// SilentAfter is the time without contact after which a member is Silent.
	SilentAfter time.Duration
	// DeadAfter is the time without contact after which a member is Dead. It is
	// at least SilentAfter.
	DeadAfter time.Duration
	// Retain is the time for which a Dead member is kept in the table.
	Retain time.Duration
	// MayReturn allows a Dead incarnation to become Live again when it makes
	// contact, provided that no other incarnation of the instance has been in contact
	// within SilentAfter. Incarnation numbers have no order, so a late message of a
	// process that has ended may have made its successor Dead.
	// It must be false if the user of the table reacts to a Dead member in a way
	// that can't be undone.
	MayReturn bool
}

// Member is one incarnation of a process and its state.
type Member struct {
	Peer wire.Peer
	// Rack is the rack of the worker. It is empty for an entry instance and for a
	// sidecar without a backend server.
	Rack string
	// FirstSeen is the time at which the incarnation became known.
	FirstSeen time.Duration
	// FirstWindow and LastWindow are the first and the highest submission window
	// that an entry instance has reported.
	FirstWindow, LastWindow uint64
	// LastSeen is the time of the last contact, StateSince the time of the last
	// change of State.
	LastSeen, StateSince time.Duration
	State                State
}

// Transition is a change of a member's state.
type Transition struct {
	Member Member
	From   State
}

// Table tracks the incarnations of one kind of process. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	members map[ident.Process]*Member
	// current maps each instance name to its newest incarnation.
	current     map[string]ident.Process
	transitions []Transition
	liveHash    uint64 // cached result of LiveHash, 0 if outdated
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, members: map[ident.Process]*Member{}, current: map[string]ident.Process{}}
}

// RecordContact records a message that came from the process itself. It returns
// false if the incarnation is Dead and must not be used again.
func (t *Table) RecordContact(now time.Duration, p wire.Peer, rack string, window uint64) bool {
	m := t.members[p.Process]
	if m != nil && m.State == Dead && !t.mayReturn(now, p.Process) {
		return false
	}
	if m == nil || m.State == Dead {
		t.markReplaced(now, p.Process)
		t.current[p.Process.Instance] = p.Process
	}
	if m == nil {
		m = &Member{FirstSeen: now, StateSince: now, FirstWindow: window, State: Live}
		t.members[p.Process] = m
	}
	m.Peer, m.Rack, m.LastSeen = p, rack, now
	m.LastWindow = max(m.LastWindow, window)
	if m.State != Live {
		t.setState(now, m, Live)
	}
	t.liveHash = 0
	return true
}

// mayReturn reports whether a Dead incarnation may become Live again.
func (t *Table) mayReturn(now time.Duration, p ident.Process) bool {
	current := t.members[t.current[p.Instance]]
	return t.cfg.MayReturn && (current == nil || current.Peer.Process == p || now-current.LastSeen > t.cfg.SilentAfter)
}

// markReplaced marks the earlier incarnation of the same instance Dead.
func (t *Table) markReplaced(now time.Duration, p ident.Process) {
	old, ok := t.current[p.Instance]
	if !ok || old == p {
		return
	}
	t.MarkDead(now, old)
}

// MarkDead marks an incarnation Dead, for example because a newer one has
// replaced it or because a peer has declared it dead. An unknown incarnation is
// added to the table.
func (t *Table) MarkDead(now time.Duration, p ident.Process) {
	m := t.members[p]
	if m == nil {
		m = &Member{Peer: wire.Peer{Process: p}, FirstSeen: now, LastSeen: now, State: Live}
		t.members[p] = m
	}
	if m.State != Dead {
		t.setState(now, m, Dead)
	}
}

// setState changes the state of a member and records the transition.
func (t *Table) setState(now time.Duration, m *Member, to State) {
	from := m.State
	m.State, m.StateSince = to, now
	t.transitions = append(t.transitions, Transition{Member: *m, From: from})
	t.liveHash = 0
}

// Tick updates the states by the time since the last contact and removes members
// that have been Dead for longer than Config.Retain.
func (t *Table) Tick(now time.Duration) {
	for p, m := range t.members {
		silence := now - m.LastSeen
		switch {
		case m.State == Dead:
			if now-m.StateSince > t.cfg.Retain {
				t.remove(p)
			}
		case silence > t.cfg.DeadAfter:
			t.setState(now, m, Dead)
		case silence > t.cfg.SilentAfter && m.State == Live:
			t.setState(now, m, Silent)
		}
	}
}

func (t *Table) remove(p ident.Process) {
	delete(t.members, p)
	if t.current[p.Instance] == p {
		delete(t.current, p.Instance)
	}
}

// TakeTransitions returns the state changes since the last call, sorted by the
// name of the process, and clears them.
func (t *Table) TakeTransitions() []Transition {
	transitions := t.transitions
	t.transitions = nil
	sort.Slice(transitions, func(i, j int) bool {
		return transitions[i].Member.Peer.Process.String() < transitions[j].Member.Peer.Process.String()
	})
	return transitions
}

// Get returns the member for an incarnation, and whether it is in the table.
func (t *Table) Get(p ident.Process) (Member, bool) {
	m := t.members[p]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// InState returns the members in the given state, sorted by process.
func (t *Table) InState(s State) []Member {
	var members []Member
	for _, m := range t.members {
		if m.State == s {
			members = append(members, *m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return less(members[i].Peer.Process, members[j].Peer.Process) })
	return members
}

func less(a, b ident.Process) bool {
	if a.Instance != b.Instance {
		return a.Instance < b.Instance
	}
	return a.Incarnation < b.Incarnation
}

// LiveHash returns a hash of the set of Live incarnations. It is never zero.
func (t *Table) LiveHash() uint64 {
	if t.liveHash != 0 {
		return t.liveHash
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
	t.liveHash = h
	return h
}
