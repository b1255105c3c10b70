package resourceapi

import (
	"bufio"
	"encoding/json"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// writeTimeout is how long a write to a client may take, in addition to the
// heartbeat interval, before the connection is considered broken.
const writeTimeout = 10 * time.Second

// stream is an open watch of a resource type, or of one resource if filter has
// a name.
type stream struct {
	api      *API
	filter   resource.Ref
	conn     net.Conn
	position cursor
}

// watch responds with a stream of events.
func (a *API) watch(rc *fasthttp.RequestCtx, filter resource.Ref) {
	s := &stream{api: a, filter: filter, conn: rc.Conn()}
	initial, ok := s.initialEvents(rc)
	if !ok {
		return
	}
	select {
	case a.watchSlots <- struct{}{}:
	default:
		writeError(rc, fasthttp.StatusServiceUnavailable, ErrorBody{Error: "too many watches, allowed is " + strconv.Itoa(MaxWatches)})
		return
	}
	rc.SetContentType("application/x-ndjson")
	rc.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer func() { <-a.watchSlots }()
		s.writeEvents(w, initial)
	})
}

// initialEvents returns the events with which the stream begins: the current
// resources, or the changes after the revision that the query parameter "since"
// contains. If the stream can't begin, it responds with an error and returns
// false.
func (s *stream) initialEvents(rc *fasthttp.RequestCtx) ([]Event, bool) {
	var since uint64
	if text := rc.QueryArgs().Peek("since"); len(text) > 0 {
		var err error
		if since, err = strconv.ParseUint(string(text), 10, 64); err != nil {
			writeError(rc, fasthttp.StatusBadRequest, ErrorBody{Error: "since is not a revision", Field: "since"})
			return nil, false
		}
	}
	from := since
	if since == 0 {
		from = math.MaxUint64
	}
	doc, events, next, oldestRevision, ok := s.api.events.changesSince(from)
	if doc == nil {
		// The configuration has its first document but has not yet passed it to the
		// API.
		writeError(rc, fasthttp.StatusServiceUnavailable, ErrorBody{Error: "no configuration yet"})
		return nil, false
	}
	if since == 0 {
		s.position = next
		return s.snapshotEvents(doc, EventPut), true
	}
	if !ok {
		writeError(rc, fasthttp.StatusGone, ErrorBody{Error: "the changes since that revision are no longer known; list the resources again", Current: &oldestRevision})
		return nil, false
	}
	s.position = next
	return append(events, s.snapshotEvents(doc, EventStatus)...), true
}

// snapshotEvents returns a STATUS event for each resource that all processes
// have in force. If eventType is EventPut, it also returns a PUT event for each
// resource.
func (s *stream) snapshotEvents(doc *resource.Document, eventType string) []Event {
	var events []Event
	for _, name := range doc.Names(s.filter.Type) {
		r := resource.Ref{Type: s.filter.Type, Name: name}
		if eventType == EventPut {
			events = append(events, Event{Type: EventPut, Resource: &r, Object: objectWithStatus(doc, r, nil)})
		}
		rev := doc.Revision
		if eventType == EventPut {
			rev = 0
		}
		if st := s.api.resourceStatus(doc, r); !st.InForceSince.IsZero() {
			events = append(events, Event{Type: EventStatus, Revision: rev, Resource: &r, Status: st})
		}
	}
	return events
}

// writeEvents writes events until the client disconnects, the API is closed, or
// the client was so slow that it missed events.
func (s *stream) writeEvents(w *bufio.Writer, events []Event) {
	defer func() { _ = s.conn.SetWriteDeadline(time.Time{}) }()
	if s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return
	}
	clk, interval := s.api.opts.Clock, s.api.opts.HeartbeatInterval
	heartbeat := true // The first heartbeat tells the client that the stream has begun.
	lastLine := clk.Now()
	heartbeatDue := clk.After(interval)
	for {
		for _, e := range events {
			if !s.matches(e) {
				continue
			}
			if writeLine(w, e) != nil {
				return
			}
			lastLine = clk.Now()
		}
		var rev uint64
		var changed <-chan struct{}
		events, s.position, rev, changed = s.api.events.readFrom(s.position)
		if s.position.missedEvents {
			return
		}
		if len(events) > 0 {
			continue
		}
		if heartbeat && writeLine(w, Event{Type: EventHeartbeat, Revision: rev}) != nil {
			return
		}
		heartbeat = false
		timeout := interval + writeTimeout
		if s.conn.SetWriteDeadline(time.Now().Add(timeout)) != nil || w.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case now := <-heartbeatDue:
			rest := interval - now.Sub(lastLine)
			if heartbeat = rest <= 0; heartbeat {
				lastLine, rest = now, interval
			}
			heartbeatDue = clk.After(rest)
		case <-s.api.ctx.Done():
			return
		}
	}
}

func (s *stream) matches(e Event) bool {
	return e.Resource != nil && e.Resource.Type == s.filter.Type && (s.filter.Name == "" || s.filter.Name == e.Resource.Name)
}

func writeLine(w *bufio.Writer, e Event) error {
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if _, err = w.Write(data); err != nil {
		return err
	}
	return w.WriteByte('\n')
}
