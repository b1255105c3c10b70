package delay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// echoServer starts a server that echoes each line of each connection. It returns
// the address of the server and a channel that receives each line read.
func echoServer(t *testing.T) (string, <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	lines := make(chan string, 1000)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s := bufio.NewScanner(c)
				for s.Scan() {
					lines <- s.Text()
					fmt.Fprintln(c, s.Text())
				}
			}()
		}
	}()
	return l.Addr().String(), lines
}

// dial connects to a forwarder and closes the connection at the end of the test.
func dial(t *testing.T, f *Forwarder) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestDelayAndOrder guards against a forwarder that reorders bytes, adds no delay, or
// doesn't pass on the end of data.
func TestDelayAndOrder(t *testing.T) {
	const oneWay = 5 * time.Millisecond
	addr, _ := echoServer(t)
	f, err := NewForwarder(addr, oneWay)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c := dial(t, f)
	begin := time.Now()
	go func() {
		for i := range 500 {
			fmt.Fprintln(c, i)
		}
	}()
	s := bufio.NewScanner(c)
	for i := range 500 {
		if !s.Scan() || s.Text() != fmt.Sprint(i) {
			t.Fatalf("line %d is %q", i, s.Text())
		}
		if d := time.Since(begin); i == 0 && d < 2*oneWay {
			t.Fatalf("round trip took %v, want at least %v", d, 2*oneWay)
		}
	}
	_ = c.(*net.TCPConn).CloseWrite()
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Fatalf("after the end of data: %d, %v", n, err)
	}
}

// TestPause guards against a paused forwarder that passes on data or loses it.
func TestPause(t *testing.T) {
	addr, lines := echoServer(t)
	f, err := NewForwarder(addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	paused, other := dial(t, f), dial(t, f)
	fmt.Fprintln(other, "before")
	<-lines
	f.Pause()
	fmt.Fprintln(paused, "held")
	direct, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer direct.Close()
	fmt.Fprintln(direct, "direct")
	if got := <-lines; got != "direct" {
		t.Fatalf("%q passed a paused forwarder", got)
	}
	f.Resume()
	if got := <-lines; got != "held" {
		t.Fatalf("got %q after the pause", got)
	}
}

// TestBlock guards against a blocked forwarder that keeps connections open or accepts
// new ones, and against a forwarder that stays blocked after Unblock.
func TestBlock(t *testing.T) {
	addr, lines := echoServer(t)
	f, err := NewForwarder(addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c := dial(t, f)
	fmt.Fprintln(c, "a")
	<-lines
	f.Block()
	if _, err := io.ReadAll(c); err == nil {
		t.Fatal("the connection ended without a reset")
	}
	if _, err := dial(t, f).Read(make([]byte, 1)); err == nil {
		t.Fatal("a blocked forwarder accepted a new connection")
	}
	f.Unblock()
	fmt.Fprintln(dial(t, f), "b")
	if got := <-lines; got != "b" {
		t.Fatalf("got %q", got)
	}
}
