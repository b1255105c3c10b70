package disconnect

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	if client, err = net.Dial("tcp", lis.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = lis.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close(); client.Close() })
	return server, client
}

// TestDisconnect guards against a close or a reset by the caller that the watch
// does not report.
func TestDisconnect(t *testing.T) {
	for _, reset := range []bool{false, true} {
		server, client := connPair(t)
		watcher := Watch(server)
		if reset {
			client.(*net.TCPConn).SetLinger(0)
		}
		client.Close()
		select {
		case <-watcher.Left():
		case <-time.After(5 * time.Second):
			t.Errorf("reset %v: disconnect not reported", reset)
		}
		watcher.Stop()
	}
}

// TestHasLeft guards against a request that is handled although its caller closed the
// connection while the request waited to be read.
func TestHasLeft(t *testing.T) {
	for _, reset := range []bool{false, true} {
		server, client := connPair(t)
		watcher := Watch(server)
		if watcher.HasLeft() {
			t.Error("a connected caller is reported as disconnected")
		}
		if reset {
			client.(*net.TCPConn).SetLinger(0)
		}
		client.Close()
		<-watcher.Left() // the close has arrived
		watcher.Stop()
		if !Watch(server).HasLeft() {
			t.Errorf("reset %v: disconnect not reported at once", reset)
		}
	}
}

// TestNoDisconnect guards against a watch that consumes bytes of the next request,
// reports a connected caller as disconnected, or leaves a read deadline set.
func TestNoDisconnect(t *testing.T) {
	server, client := connPair(t)
	watcher := Watch(server)
	watcher.Stop()
	select {
	case <-watcher.Left():
		t.Fatal("disconnect reported although only the watch ended")
	default:
	}
	watcher = Watch(server)
	if _, err := client.Write([]byte("next")); err != nil {
		t.Fatal(err)
	}
	watcher.Stop()
	if watcher.HasLeft() {
		t.Error("a caller that sends data is reported as disconnected")
	}
	buf := make([]byte, 8)
	n, err := server.Read(buf)
	if err != nil || string(buf[:n]) != "next" {
		t.Errorf("read %q, %v after the watch", buf[:n], err)
	}
	select {
	case <-watcher.Left():
		t.Error("disconnect reported although the caller sends data")
	default:
	}
}

// TestClosedBeforeWatch guards against a request that is carried out although its caller
// had closed the connection before the request was read.
func TestClosedBeforeWatch(t *testing.T) {
	server, client := connPair(t)
	client.Close()
	if _, err := server.Read(make([]byte, 1)); err == nil {
		t.Fatal("read from a closed connection")
	}
	watcher := Watch(server)
	defer watcher.Stop()
	if !watcher.HasLeft() {
		t.Error("the closed connection is not reported when Watch returns")
	}
}

// TestDisconnectAfterData guards against a job that goes on after its caller has sent further
// data and then closed the connection, and may have submitted the job again elsewhere.
func TestDisconnectAfterData(t *testing.T) {
	for _, reset := range []bool{false, true} {
		server, client := connPair(t)
		watcher := Watch(server)
		if _, err := client.Write([]byte("\r\n")); err != nil {
			t.Fatal(err)
		}
		for n := 0; n == 0; { // the data has arrived
			control(t, server, func(fd uintptr) { n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK) })
		}
		if watcher.HasLeft() {
			t.Error("a connected caller is reported as disconnected")
		}
		if reset {
			client.(*net.TCPConn).SetLinger(0)
		}
		client.Close()
		select {
		case <-watcher.Left():
		case <-time.After(5 * time.Second):
			t.Errorf("reset %v: disconnect not reported", reset)
		}
		if !watcher.HasLeft() {
			t.Errorf("reset %v: the caller counts as connected", reset)
		}
		watcher.Stop()
	}
}

// control calls f with the file descriptor of a connection.
func control(t *testing.T, conn net.Conn, f func(fd uintptr)) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(f); err != nil {
		t.Fatal(err)
	}
}
