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

// writeGrace is how long a write to a watching client may take beyond a
// heartbeat before the connection counts as dead.
const writeGrace = 10 * time.Second

// stream is one open watch of a type, or of one resource if filter has a name.
type stream struct {
	api    *API
	filter resource.Ref
	conn   net.Conn
	at     cursor
}

// watch answers with a stream of events.
func (a *API) watch(rc *fasthttp.RequestCtx, filter resource.Ref) {
	s := &stream{api: a, filter: filter, conn: rc.Conn()}
	first, ok := s.open(rc)
	if !ok {
		return
	}
	select {
	case a.watches <- struct{}{}:
	default:
		fail(rc, fasthttp.StatusServiceUnavailable, ErrorBody{Error: "too many watches, allowed is " + strconv.Itoa(MaxWatches)})
		return
	}
	rc.SetContentType("application/x-ndjson")
	rc.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer func() { <-a.watches }()
		s.run(w, first)
	})
}

// open returns the events that the stream begins with: the present resources, or
// what changed after since. It answers the request
// itself and returns false if the stream can't begin.
func (s *stream) open(rc *fasthttp.RequestCtx) ([]Event, bool) {
	var since uint64
	if text := rc.QueryArgs().Peek("since"); len(text) > 0 {
		var err error
		if since, err = strconv.ParseUint(string(text), 10, 64); err != nil {
			fail(rc, fasthttp.StatusBadRequest, ErrorBody{Error: "since is not a revision", Field: "since"})
			return nil, false
		}
	}
	from := since
	if since == 0 {
		from = math.MaxUint64
	}
	doc, events, at, floor, ok := s.api.log.open(from)
	if doc == nil {
		// The first document is published but not yet told to the API.
		fail(rc, fasthttp.StatusServiceUnavailable, ErrorBody{Error: "no configuration yet"})
		return nil, false
	}
	if since == 0 {
		s.at = at
		return s.present(doc, EventPut), true
	}
	if !ok {
		fail(rc, fasthttp.StatusGone, ErrorBody{Error: "the changes since that revision are no longer known; list again", Current: &floor})
		return nil, false
	}
	s.at = at
	return append(events, s.present(doc, EventStatus)...), true
}

// present returns events of the given type for the resources in force, and the
// status of each one that all processes have in force.
func (s *stream) present(doc *resource.Document, kind string) []Event {
	var events []Event
	for _, name := range doc.Names(s.filter.Type) {
		r := resource.Ref{Type: s.filter.Type, Name: name}
		if kind == EventPut {
			events = append(events, Event{Type: EventPut, Resource: &r, Object: object(doc, r, nil)})
		}
		rev := doc.Revision
		if kind == EventPut {
			rev = 0
		}
		if st := s.api.status(doc, r); !st.InForceSince.IsZero() {
			events = append(events, Event{Type: EventStatus, Revision: rev, Resource: &r, Status: st})
		}
	}
	return events
}

// run writes events until the client or the API goes away, or until the client
// is so slow that it has missed events.
func (s *stream) run(w *bufio.Writer, events []Event) {
	defer func() { _ = s.conn.SetWriteDeadline(time.Time{}) }()
	if s.conn.SetWriteDeadline(time.Now().Add(writeGrace)) != nil {
		return
	}
	heartbeat := true // Tells the client that the stream has begun.
	for {
		for _, e := range events {
			if !s.matches(e) {
				continue
			}
			if writeLine(w, e) != nil {
				return
			}
		}
		var rev uint64
		var changed <-chan struct{}
		events, s.at, rev, changed = s.api.log.read(s.at)
		if s.at.behind {
			return
		}
		if len(events) > 0 {
			continue
		}
		if heartbeat && writeLine(w, Event{Type: EventHeartbeat, Revision: rev}) != nil {
			return
		}
		heartbeat = false
		limit := s.api.opts.Heartbeat + writeGrace
		if s.conn.SetWriteDeadline(time.Now().Add(limit)) != nil || w.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-s.api.opts.Clock.After(s.api.opts.Heartbeat):
			heartbeat = true
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
