package rpcnet

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/juju/errors"
)

type Echo struct{}

type Text struct{ S string }

func (Echo) Say(in *Text, out *Text) error {
	if in.S == "fail" {
		return errors.New("failed on request")
	}
	out.S = in.S
	return nil
}

func startServer(t *testing.T) (string, chan error) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer()
	bad := make(chan error, 1)
	s.OnBadFrame = func(_ string, err error) { bad <- err }
	if err := s.Register("Echo", Echo{}); err != nil {
		t.Fatal(err)
	}
	go s.Serve(lis)
	t.Cleanup(func() { s.Close() })
	return lis.Addr().String(), bad
}

// TestCall guards against replies that are lost or given to the wrong call.
func TestCall(t *testing.T) {
	addr, _ := startServer(t)
	c := NewClient(addr)
	defer c.Close()
	for _, s := range []string{"a", strings.Repeat("b", 1<<20), ""} {
		var out Text
		if err := c.Call(context.Background(), "Echo.Say", &Text{S: s}, &out); err != nil || out.S != s {
			t.Fatalf("echo of %d bytes: %d bytes, %v", len(s), len(out.S), err)
		}
	}
	var out Text
	err := c.Call(context.Background(), "Echo.Say", &Text{S: "fail"}, &out)
	var e *Error
	if !errors.As(err, &e) || e.Step != "Echo.Say" || e.Peer != addr || e.Kind != nil {
		t.Fatalf("remote error: %v", err)
	}
}

// TestOversizedCall guards against a frame above the bound being sent, and
// against it breaking the connection for other calls.
func TestOversizedCall(t *testing.T) {
	addr, _ := startServer(t)
	c := NewClient(addr)
	defer c.Close()
	var out Text
	err := c.Call(context.Background(), "Echo.Say", &Text{S: strings.Repeat("x", MaxFrame)}, &out)
	if !errors.Is(err, ErrNotSent) {
		t.Fatalf("oversized call: %v", err)
	}
	if err := c.Call(context.Background(), "Echo.Say", &Text{S: "y"}, &out); err != nil || out.S != "y" {
		t.Fatalf("call after an oversized one: %q, %v", out.S, err)
	}
}

// TestGarbage guards against a garbage frame disturbing other connections.
func TestGarbage(t *testing.T) {
	addr, bad := startServer(t)
	c := NewClient(addr)
	defer c.Close()
	for _, frame := range [][]byte{
		binary.BigEndian.AppendUint32(nil, MaxFrame+1),
		[]byte("\x00\x00\x00\x04\xc1\xc1\xc1\xc1"),
		[]byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(frame); err != nil {
			t.Fatal(err)
		}
		if err := <-bad; !errors.Is(err, ErrFrame) {
			t.Fatalf("garbage: %v", err)
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatal("the connection stays open after garbage")
		}
		conn.Close()
		var out Text
		if err := c.Call(context.Background(), "Echo.Say", &Text{S: "z"}, &out); err != nil || out.S != "z" {
			t.Fatalf("call after garbage: %q, %v", out.S, err)
		}
	}
}

// heldConn accepts data and delivers answer when told, even after Close, as
// when the peer's last data and the own close coincide.
type heldConn struct {
	net.Conn
	answer  io.Reader
	written chan struct{}
	end     chan struct{}
}

func (c *heldConn) Write(p []byte) (int, error) {
	c.written <- struct{}{}
	return len(p), nil
}

func (c *heldConn) Read(p []byte) (int, error) {
	<-c.end
	return c.answer.Read(p)
}

func (c *heldConn) Close() error { return nil }

// TestSentCall guards against a call that was sent being reported as not sent,
// after which its caller would send it again elsewhere: at the end of a
// connection that is being closed, and after a malformed answer.
func TestSentCall(t *testing.T) {
	for _, answer := range []string{"", "\xff\xff\xff\xff"} {
		conn := &heldConn{answer: strings.NewReader(answer), written: make(chan struct{}, 1), end: make(chan struct{})}
		c := NewClientWith("peer", func(context.Context, string) (net.Conn, error) { return conn, nil })
		result := make(chan error, 1)
		go func() { result <- c.Call(context.Background(), "Echo.Say", &Text{}, &Text{}) }()
		<-conn.written
		c.Close()
		close(conn.end)
		if err := <-result; errors.Is(err, ErrNotSent) || !errors.Is(err, ErrLost) {
			t.Fatalf("answer %q: %v", answer, err)
		}
	}
}

// TestOnLost guards against the end of a peer staying unnoticed until the next
// call, and against the client's own Close being reported as a loss.
func TestOnLost(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer()
	if err := s.Register("Echo", Echo{}); err != nil {
		t.Fatal(err)
	}
	go s.Serve(lis)
	lost := make(chan struct{}, 2)
	c := NewClient(lis.Addr().String())
	c.OnLost = func() { lost <- struct{}{} }
	var out Text
	if err := c.Call(context.Background(), "Echo.Say", &Text{S: "a"}, &out); err != nil {
		t.Fatal(err)
	}
	s.Close()
	<-lost
	addr, _ := startServer(t)
	d := NewClient(addr)
	d.OnLost = func() { t.Error("the client's own Close is reported as a loss") }
	if err := d.Call(context.Background(), "Echo.Say", &Text{S: "a"}, &out); err != nil {
		t.Fatal(err)
	}
	d.Close()
}

// TestCallToClosedPort guards against a refused connection being reported as
// a call that may have reached the peer.
func TestCallToClosedPort(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := lis.Addr().String()
	lis.Close()
	err = NewClient(addr).Call(context.Background(), "Echo.Say", &Text{}, &Text{})
	var e *Error
	if !errors.Is(err, ErrNotSent) || !errors.As(err, &e) || e.Step != "dial" {
		t.Fatalf("call to a closed port: %v", err)
	}
}

// TestAppendedField guards against processes of two versions that can't talk:
// a message with an appended field is read by the earlier version and the
// reverse.
func TestAppendedField(t *testing.T) {
	type older struct{ A, B string }
	type newer struct{ A, B, C string }
	send := func(in, out any) {
		t.Helper()
		a, b := net.Pipe()
		defer a.Close()
		defer b.Close()
		go newFramer(a).write(requestHeader{Method: "m", Seq: 1}, in, nil)
		f := newFramer(b)
		var h requestHeader
		if err := f.next(&h); err != nil || h.Method != "m" || h.Seq != 1 {
			t.Fatalf("header %+v, %v", h, err)
		}
		if err := f.body(out); err != nil {
			t.Fatal(err)
		}
	}
	var o older
	if send(&newer{"a", "b", "c"}, &o); o != (older{"a", "b"}) {
		t.Fatalf("the earlier version reads %+v", o)
	}
	var n newer
	if send(&older{"a", "b"}, &n); n != (newer{"a", "b", ""}) {
		t.Fatalf("the later version reads %+v", n)
	}
}
