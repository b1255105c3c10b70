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

// maxEvents is the maximum number of events that the log keeps.
const maxEvents = 4096

// Event is one line of a watch.
type Event struct {
	Type string `json:"type"`
	// Revision is the revision from which a watch can continue after this
	// event. It is absent in the events for the resources with which a watch
	// begins, because a watch can continue only after all of these events.
	Revision uint64 `json:"revision,omitempty"`
	// Resource is absent in heartbeats.
	Resource *resource.Ref `json:"resource,omitempty"`
	// Object is the resource after a PUT, without status.
	Object any `json:"object,omitempty"`
	// Status is set in STATUS events only.
	Status *resource.Status `json:"status,omitempty"`

	// documentRevision is the revision of the document that contains the
	// change. It is above Revision if more events of the same document follow.
	documentRevision uint64
}

// reportedStatus is the part of a resource's status that the watches received
// last.
type reportedStatus struct {
	version uint64
	since   time.Time
}

// eventLog keeps recent events, which the watches read.
type eventLog struct {
	capacity int

	mu  sync.Mutex
	doc *resource.Document
	// firstSeq is the sequence number of events[0].
	firstSeq uint64
	events   []Event
	// oldestRevision is the oldest revision since which the log has all
	// changes.
	oldestRevision uint64
	reported       map[resource.Ref]reportedStatus
	// changed is closed and replaced at each change of the log.
	changed chan struct{}
}

func newEventLog(capacity int) *eventLog {
	return &eventLog{capacity: capacity, reported: map[resource.Ref]reportedStatus{}, changed: make(chan struct{})}
}

// recordDocument records the differences between the previous document and doc.
func (l *eventLog) recordDocument(doc *resource.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.doc
	l.doc = doc
	if old == nil {
		l.oldestRevision = doc.Revision
		l.notifyReaders()
		return
	}
	events := diffDocuments(old, doc)
	for i, e := range events {
		if i == len(events)-1 {
			e.Revision = doc.Revision
		}
		if e.Type == EventDelete {
			delete(l.reported, *e.Resource)
		}
		l.appendEvent(e)
	}
	l.notifyReaders()
}

// diffDocuments returns the events that lead from old to doc. Each has the
// Revision of old, because a watch can continue from doc only after the last of
// them.
func diffDocuments(old, doc *resource.Document) []Event {
	var events []Event
	for _, t := range resource.Types() {
		for _, name := range old.Names(t) {
			r := resource.Ref{Type: t, Name: name}
			if _, ok := doc.Metadata(r); !ok {
				events = append(events, Event{Type: EventDelete, Revision: old.Revision, documentRevision: doc.Revision, Resource: &r})
			}
		}
		for _, name := range doc.Names(t) {
			r := resource.Ref{Type: t, Name: name}
			before, existed := old.Metadata(r)
			if after, _ := doc.Metadata(r); !existed || after != before {
				events = append(events, Event{Type: EventPut, Revision: old.Revision, documentRevision: doc.Revision, Resource: &r, Object: objectWithStatus(doc, r, nil)})
			}
		}
	}
	return events
}

// recordStatusChanges records a STATUS event for each resource whose version or
// InForceSince has changed since its last STATUS event. The first STATUS event of
// a resource is recorded when all processes have the resource in force.
func (l *eventLog) recordStatusChanges(status func(*resource.Document, resource.Ref) *resource.Status) {
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
			current := reportedStatus{version: meta.ResourceVersion, since: s.InForceSince}
			previous, wasReported := l.reported[r]
			if previous == current || !wasReported && current.since.IsZero() {
				continue
			}
			l.reported[r] = current
			l.appendEvent(Event{Type: EventStatus, Revision: l.doc.Revision, documentRevision: l.doc.Revision, Resource: &r, Status: s})
		}
	}
	l.notifyReaders()
}

// appendEvent appends an event and drops the oldest events beyond the capacity.
func (l *eventLog) appendEvent(e Event) {
	l.events = append(l.events, e)
	for len(l.events) > l.capacity {
		if l.events[0].Type != EventStatus {
			l.oldestRevision = max(l.oldestRevision, l.events[0].documentRevision)
		}
		l.events[0] = Event{}
		l.events = l.events[1:]
		l.firstSeq++
	}
}

func (l *eventLog) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// cursor is the position of a watch in the log.
type cursor struct {
	seq uint64
	// missedEvents is true if the log dropped events that the watch had not
	// read.
	missedEvents bool
}

// changesSince returns the current document, the changes after a revision, and
// the cursor that follows them. If the log no longer has all these changes, it
// returns false and the oldest revision since which it has all changes.
func (l *eventLog) changesSince(since uint64) (doc *resource.Document, events []Event, next cursor, oldestRevision uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next = cursor{seq: l.firstSeq + uint64(len(l.events))}
	if since < l.oldestRevision {
		return l.doc, nil, next, l.oldestRevision, false
	}
	for _, e := range l.events {
		if e.Type != EventStatus && e.documentRevision > since {
			events = append(events, e)
		}
	}
	return l.doc, events, next, l.oldestRevision, true
}

// readFrom returns the events from the cursor on, the cursor that follows them,
// the current revision, and a channel that is closed at the next change of the
// log.
func (l *eventLog) readFrom(from cursor) (events []Event, next cursor, rev uint64, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next = cursor{seq: l.firstSeq + uint64(len(l.events))}
	if from.seq < l.firstSeq {
		next.missedEvents = true
		return nil, next, 0, l.changed
	}
	events = append(events, l.events[from.seq-l.firstSeq:]...)
	if l.doc != nil {
		rev = l.doc.Revision
	}
	return events, next, rev, l.changed
}
