package resourceapi

import (
	"sync"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// Event types.
const (
	EventPut       = "PUT"
	EventDelete    = "DELETE"
	EventStatus    = "STATUS"
	EventHeartbeat = "HEARTBEAT"
)

// maxEvents bounds the remembered events.
const maxEvents = 4096

// Event is one line of a watch.
type Event struct {
	Type string `json:"type"`
	// Revision is where a watch continues after this event; absent among the
	// resources that a watch opens with, because only all of them are a state
	// to continue from.
	Revision uint64 `json:"revision,omitempty"`
	// Resource is absent in heartbeats.
	Resource *resource.Ref `json:"resource,omitempty"`
	// Object is the resource after a PUT, without status.
	Object any `json:"object,omitempty"`
	// Status belongs to STATUS.
	Status *resource.Status `json:"status,omitempty"`

	// made is the revision that the event is part of. It is above Revision if
	// further events of the same revision follow.
	made uint64
}

// inForce is what watches were told of a resource.
type inForce struct {
	version uint64
	since   time.Time
}

// eventLog remembers the recent events for watches to read from.
type eventLog struct {
	limit int

	mu  sync.Mutex
	doc *resource.Document
	// first is the sequence number of events[0].
	first  uint64
	events []Event
	// floor is the oldest revision from which no change is missing.
	floor   uint64
	told    map[resource.Ref]inForce
	changed chan struct{}
}

func newEventLog(limit int) *eventLog {
	return &eventLog{limit: limit, told: map[resource.Ref]inForce{}, changed: make(chan struct{})}
}

// onDocument records the differences to the document before.
func (l *eventLog) onDocument(doc *resource.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.doc
	l.doc = doc
	if old == nil {
		l.floor = doc.Revision
		l.wake()
		return
	}
	events := differences(old, doc)
	for i, e := range events {
		if i == len(events)-1 {
			e.Revision = doc.Revision
		}
		if e.Type == EventDelete {
			delete(l.told, *e.Resource)
		}
		l.add(e)
	}
	l.wake()
}

// differences returns the events that lead from old to doc, with the revision
// of old.
func differences(old, doc *resource.Document) []Event {
	var events []Event
	for _, t := range resource.Types() {
		for _, name := range old.Names(t) {
			r := resource.Ref{Type: t, Name: name}
			if _, ok := doc.Metadata(r); !ok {
				events = append(events, Event{Type: EventDelete, Revision: old.Revision, made: doc.Revision, Resource: &r})
			}
		}
		for _, name := range doc.Names(t) {
			r := resource.Ref{Type: t, Name: name}
			before, existed := old.Metadata(r)
			if now, _ := doc.Metadata(r); !existed || now != before {
				events = append(events, Event{Type: EventPut, Revision: old.Revision, made: doc.Revision, Resource: &r, Object: object(doc, r, nil)})
			}
		}
	}
	return events
}

// onStatus records the resources whose InForceSince changed.
func (l *eventLog) onStatus(status func(*resource.Document, resource.Ref) *resource.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doc == nil {
		return
	}
	for _, t := range resource.Types() {
		for _, name := range l.doc.Names(t) {
			r := resource.Ref{Type: t, Name: name}
			meta, _ := l.doc.Metadata(r)
			s := status(l.doc, r)
			now := inForce{version: meta.ResourceVersion, since: s.InForceSince}
			before, known := l.told[r]
			if before == now || !known && now.since.IsZero() {
				continue
			}
			l.told[r] = now
			l.add(Event{Type: EventStatus, Revision: l.doc.Revision, made: l.doc.Revision, Resource: &r, Status: s})
		}
	}
	l.wake()
}

func (l *eventLog) add(e Event) {
	l.events = append(l.events, e)
	for len(l.events) > l.limit {
		if l.events[0].Type != EventStatus {
			l.floor = max(l.floor, l.events[0].made)
		}
		l.events[0] = Event{}
		l.events = l.events[1:]
		l.first++
	}
}

func (l *eventLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// cursor is where a watch stands.
type cursor struct {
	seq uint64
	// behind is true if events before seq were missed.
	behind bool
}

// open returns the document, the changes after since, and the cursor that
// follows them. It returns false if since is too old, with the oldest
// revision.
func (l *eventLog) open(since uint64) (doc *resource.Document, events []Event, at cursor, floor uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at = cursor{seq: l.first + uint64(len(l.events))}
	if since < l.floor {
		return l.doc, nil, at, l.floor, false
	}
	for _, e := range l.events {
		if e.Type != EventStatus && e.made > since {
			events = append(events, e)
		}
	}
	return l.doc, events, at, l.floor, true
}

// read returns the events from the cursor on, the revision, and a channel that
// is closed at the next change.
func (l *eventLog) read(at cursor) (events []Event, next cursor, rev uint64, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next = cursor{seq: l.first + uint64(len(l.events))}
	if at.seq < l.first {
		next.behind = true
		return nil, next, 0, l.changed
	}
	events = append(events, l.events[at.seq-l.first:]...)
	if l.doc != nil {
		rev = l.doc.Revision
	}
	return events, next, rev, l.changed
}
