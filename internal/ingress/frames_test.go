package ingress

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	decision "github.com/cardamomturn/cardamomturn/internal/decision/ingress"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
)

// Echo is the service of the tests.
type Echo struct{}

// Length replies with the length of a text.
func (Echo) Length(text string, reply *int) error {
	*reply = len(text)
	return nil
}

// serveFrames serves Echo behind a gate and returns the address.
func serveFrames(t *testing.T, g *Gate) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := rpcnet.NewServer()
	if err := s.Register("Echo", Echo{}); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(g.Listen("internal", 0, lis)) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return lis.Addr().String()
}

func length(t *testing.T, c *rpcnet.Client, n int) {
	t.Helper()
	var got int
	if err := c.CallWithTimeout(context.Background(), hangTimeout, "Echo.Length", strings.Repeat("x", n), &got); err != nil || got != n {
		t.Fatalf("length %d, %v; want %d", got, err, n)
	}
}

// Guards against frames announced as huge that take memory or shut out those of own processes, and
// against connections of own processes that are closed while they are silent.
func TestFrames(t *testing.T) {
	bounds := testBounds
	bounds.KeepServed = true
	g := New("test", bounds, nil)
	defer g.Close()
	address := serveFrames(t, g)
	own := rpcnet.NewClient(address)
	defer own.Close()
	lost := make(chan struct{}, 8)
	own.OnDisconnect = func() { lost <- struct{}{} }
	length(t, own, 10)
	g.mu.Lock()
	g.machine.SetTimes(decision.Times{Header: 2 * time.Second, Progress: 2 * time.Second})
	g.mu.Unlock()
	var prefix [4]byte
	binary.BigEndian.PutUint32(prefix[:], rpcnet.MaxFrameBytes)
	var foreign []net.Conn
	for range 2 * bounds.Connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		// The server may have closed the connection for another one.
		_, _ = conn.Write(append(prefix[:], 0x82))
		foreign = append(foreign, conn)
	}
	if held, n := g.Held(); held > int64(n)*stepBytes || held > bounds.Bytes {
		t.Errorf("%d bytes held for %d connections", held, n)
	}
	length(t, own, 100<<10)
	for _, conn := range foreign {
		if err := conn.SetReadDeadline(time.Now().Add(hangTimeout)); err != nil {
			t.Fatal(err)
		}
		_, err := conn.Read(make([]byte, 1))
		if netErr, ok := err.(net.Error); err == nil || ok && netErr.Timeout() {
			t.Fatalf("a frame without progress: %v", err)
		}
	}
	length(t, own, 10)
	waitUntil(t, "bytes given back", func() bool { held, n := g.Held(); return held <= stepBytes && n == 1 })
	select {
	case <-lost:
		t.Error("the connection of an own process was closed")
	default:
	}
}
