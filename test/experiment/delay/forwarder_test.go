package delay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// echoServer returns the address of a server that echoes each connection and
// a channel that receives each line it has read.
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

func dial(t *testing.T, f *Forwarder) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestDelayAndOrder guards against reordered bytes and against a forwarder
// that adds no delay.
func TestDelayAndOrder(t *testing.T) {
	const oneWay = 5 * time.Millisecond
	addr, _ := echoServer(t)
	f, err := New(addr, oneWay)
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

// TestFreeze guards against data that passes a frozen forwarder or is lost
// by it.
func TestFreeze(t *testing.T) {
	addr, lines := echoServer(t)
	f, err := New(addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	frozen, open := dial(t, f), dial(t, f)
	fmt.Fprintln(open, "before")
	<-lines
	f.Freeze()
	fmt.Fprintln(frozen, "held")
	direct, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer direct.Close()
	fmt.Fprintln(direct, "direct")
	if got := <-lines; got != "direct" {
		t.Fatalf("%q passed a frozen forwarder", got)
	}
	f.Resume()
	if got := <-lines; got != "held" {
		t.Fatalf("got %q after the freeze", got)
	}
}

// TestCut guards against connections that survive a cut, and against a
// forwarder that stays cut.
func TestCut(t *testing.T) {
	addr, lines := echoServer(t)
	f, err := New(addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c := dial(t, f)
	fmt.Fprintln(c, "a")
	<-lines
	f.Cut()
	if _, err := io.ReadAll(c); err == nil {
		t.Fatal("the connection ended without a reset")
	}
	if _, err := dial(t, f).Read(make([]byte, 1)); err == nil {
		t.Fatal("a new connection passed a cut forwarder")
	}
	f.Restore()
	fmt.Fprintln(dial(t, f), "b")
	if got := <-lines; got != "b" {
		t.Fatalf("got %q", got)
	}
}
