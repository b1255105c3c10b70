package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	decision "github.com/cardamomturn/cardamomturn/internal/decision/ingress"
	"github.com/cardamomturn/cardamomturn/internal/disconnect"
	"github.com/cardamomturn/cardamomturn/internal/queues"
)

const (
	testBodyBytes = 64 << 10
	// hangTimeout only ends a test that hangs.
	hangTimeout = 20 * time.Second
	// refusalText is the body of an answer that refuses a request.
	refusalText = "refused"
)

var testBounds = decision.Bounds{Bytes: 160 << 10, Reserve: 32 << 10, StepBytes: stepBytes, Connections: 32}

// fixture is an HTTP server behind a gate, whose handler answers with the length of the body.
type fixture struct {
	gate    *Gate
	address string
	handled atomic.Int64
}

func serve(t testing.TB, b decision.Bounds, handler fasthttp.RequestHandler) *fixture {
	t.Helper()
	f := &fixture{gate: New("test", b, nil)}
	t.Cleanup(f.gate.Close)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = lis.Addr().String()
	if handler == nil {
		handler = func(ctx *fasthttp.RequestCtx) { fmt.Fprint(ctx, len(ctx.PostBody())) }
	}
	counted := func(ctx *fasthttp.RequestCtx) {
		f.handled.Add(1)
		handler(ctx)
	}
	s := &fasthttp.Server{Handler: counted, MaxRequestBodySize: testBodyBytes, ReduceMemoryUsage: true, ReadBufferSize: 16 << 10, Logger: quiet{}}
	f.gate.Guard(s, Port{Name: "test", Refuse: func(ctx *fasthttp.RequestCtx, status int) {
		ctx.SetStatusCode(status)
		fmt.Fprint(ctx, refusalText)
	}})
	go s.Serve(f.gate.Listen("test", 0, lis))
	t.Cleanup(func() {
		if err := s.Shutdown(); err != nil {
			t.Error(err)
		}
	})
	return f
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (f *fixture) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(hangTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// exchange sends a text over a new connection and returns the status of the answer.
func (f *fixture) exchange(t testing.TB, text string) *http.Response {
	t.Helper()
	conn := f.dial(t)
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || (string(body) == refusalText) != (resp.StatusCode >= 400) {
		t.Errorf("status %d with body %q, %v", resp.StatusCode, body, err)
	}
	return resp
}

// waitUntil waits for a condition.
func waitUntil(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for %s", what)
		}
	}
}

func post(framing, body string) string {
	return "POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n" + body
}

func sized(n int) string { return post(fmt.Sprint("Content-Length: ", n), strings.Repeat("x", n)) }

func chunked(n int) string {
	return post("Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", n, strings.Repeat("x", n)))
}

// Guards against requests inside the limits that are refused, refused requests that reach the
// handler, and bytes that are not given back.
func TestSizes(t *testing.T) {
	f := serve(t, testBounds, nil)
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200},
		{"empty body", sized(0), 200},
		{"one byte", sized(1), 200},
		{"at the limit", sized(testBodyBytes), 200},
		{"over the limit", sized(testBodyBytes + 1), 413},
		{"announced only", post("Content-Length: 8000000000", "x"), 413},
		{"chunks at the limit", chunked(testBodyBytes), 200},
		{"chunks over the limit", chunked(testBodyBytes + 1), 413},
		{"expected and too large", post("Content-Length: 8000000000\r\nExpect: 100-continue", ""), 413},
		{"header too large", post("Foreign: "+strings.Repeat("x", 17<<10), ""), 431},
	} {
		before := f.handled.Load()
		resp := f.exchange(t, c.text)
		if resp.StatusCode != c.status || (f.handled.Load() > before) != (c.status == 200) {
			t.Errorf("%s: status %d, %d handled; want status %d", c.name, resp.StatusCode, f.handled.Load()-before, c.status)
		}
	}
	waitUntil(t, "bytes given back", func() bool { held, _ := f.gate.Held(); return held == 0 })
}

// Guards against a connection that loses its place between two requests: the next request would
// begin with bytes of the body before.
func TestKeptConnection(t *testing.T) {
	f := serve(t, testBounds, nil)
	conn := f.dial(t)
	reader := bufio.NewReader(conn)
	var sent bytes.Buffer
	sizes := []int{0, 1, stepBytes, stepBytes + 1, testBodyBytes, 3}
	for _, n := range sizes {
		sent.WriteString(sized(n))
		sent.WriteString(chunked(n + 1 - n/testBodyBytes))
	}
	go conn.Write(sent.Bytes()) // an error shows in the answers
	for _, n := range sizes {
		for _, want := range []int{n, n + 1 - n/testBodyBytes} {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(resp.Body)
			if err != nil || string(text) != fmt.Sprint(want) {
				t.Fatalf("answer %q, %v; want %d", text, err, want)
			}
		}
	}
}

// Guards against a crowd with unfinished bodies that shuts out an ordinary request, and against
// more bytes than the budget.
func TestCrowdWithUnfinishedBodies(t *testing.T) {
	f := serve(t, testBounds, nil)
	for range 20 {
		if _, err := io.WriteString(f.dial(t), post("Content-Length: 65536", strings.Repeat("x", testBodyBytes-1))); err != nil {
			t.Fatal(err)
		}
		if held, _ := f.gate.Held(); held > testBounds.Bytes {
			t.Fatalf("%d bytes held", held)
		}
	}
	if resp := f.exchange(t, sized(1000)); resp.StatusCode != 200 {
		t.Errorf("ordinary request: status %d", resp.StatusCode)
	}
}

// Guards against a refusal for lack of room that does not say when to try again.
func TestNoRoom(t *testing.T) {
	release := make(chan struct{})
	f := serve(t, testBounds, func(*fasthttp.RequestCtx) { <-release })
	for range 2 {
		if _, err := io.WriteString(f.dial(t), sized(testBodyBytes)); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, "both requests handled", func() bool { return f.handled.Load() == 2 })
	if resp := f.exchange(t, sized(testBodyBytes)); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	close(release)
	if f.handled.Load() != 2 {
		t.Error("a refused request was handled")
	}
}

// Guards against limits of the operator that are not in force, that widen those of the port, or
// that stay after a version without them.
func TestOperatorLimits(t *testing.T) {
	f := serve(t, testBounds, nil)
	header := post("Foreign: "+strings.Repeat("x", 500), "")
	for _, c := range []struct {
		limits                  queues.Limits
		smallBody, body, header int
	}{
		{queues.Limits{MaxBodyBytes: 100, MaxHeaderBytes: 300}, 200, 413, 431},
		{queues.Limits{MaxBodyBytes: 1 << 30}, 200, 200, 200},
		{queues.Limits{MaxBodyBytes: -1, MaxHeaderBytes: -1, HeaderTimeout: -1, IdleTimeout: -1}, 200, 200, 200},
	} {
		f.gate.SetLimits(c.limits)
		got := []int{f.exchange(t, sized(100)).StatusCode, f.exchange(t, sized(101)).StatusCode, f.exchange(t, header).StatusCode}
		if want := []int{c.smallBody, c.body, c.header}; fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v: status %v, want %v", c.limits, got, want)
		}
		if resp := f.exchange(t, sized(testBodyBytes+1)); resp.StatusCode != 413 {
			t.Errorf("%+v: status %d for a body beyond the port's limit", c.limits, resp.StatusCode)
		}
	}
}

// Guards against slow headers and idle connections beyond the operator's times, and against a time
// for idle connections that no operator has set.
func TestOperatorTimes(t *testing.T) {
	f := serve(t, testBounds, nil)
	idle := f.dial(t)
	waitUntil(t, "accepted connection", func() bool { _, n := f.gate.Held(); return n == 1 })
	f.gate.SetLimits(queues.Limits{HeaderTimeout: time.Millisecond, IdleTimeout: time.Hour})
	slow := f.dial(t)
	if _, err := io.WriteString(slow, "POST / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	if n, err := slow.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes read on a connection with a slow header", n)
	}
	f.gate.SetLimits(queues.Limits{IdleTimeout: time.Millisecond})
	if _, err := f.dial(t).Read(make([]byte, 1)); err == nil {
		t.Error("idle connection is not closed")
	}
	if _, err := io.WriteString(idle, sized(1)); err != nil {
		t.Fatal(err)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(idle), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("connection from before the limits: %v, %v", resp, err)
	}
}

// Guards against a watch for callers that leave which does not work behind a gate.
func TestWatch(t *testing.T) {
	left := make(chan bool, 1)
	f := serve(t, testBounds, func(ctx *fasthttp.RequestCtx) {
		w := disconnect.Watch(ctx.Conn())
		select {
		case <-w.Left():
			left <- true
		case <-time.After(hangTimeout):
			left <- false
		}
		w.Stop()
	})
	conn := f.dial(t)
	if _, err := io.WriteString(conn, sized(1)); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "handled request", func() bool { return f.handled.Load() == 1 })
	conn.Close()
	if !<-left {
		t.Error("a caller that left was not noticed")
	}
	waitUntil(t, "closed connection", func() bool { _, n := f.gate.Held(); return n == 0 })
}
