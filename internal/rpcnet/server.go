package rpcnet

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Server serves net/rpc services on a listener. If the connections of the listener implement
// Intake, it bounds the frames that arrive.
type Server struct {
	rpc *rpc.Server
	// OnBadFrame is called for each malformed or oversized frame; it may be nil.
	OnBadFrame func(peer string, err error)
	// OnAcceptError is called for each error of the listener after which the server goes on;
	// it may be nil.
	OnAcceptError func(err error)
	// sent and received count bytes on the wire.
	sent, received atomic.Int64

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// NewServer returns a server with no services.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
}

// Register adds a service under a name.
func (s *Server) Register(name string, service any) error {
	return errors.Annotatef(s.rpc.RegisterName(name, service), "register %s", name)
}

// Serve accepts connections until Close is called, and then returns nil. It closes
// lis and returns if the server is closed already. It returns an error if somebody else closes lis.
func (s *Server) Serve(lis net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return lis.Close()
	}
	s.listener = lis
	s.mu.Unlock()
	delay := minAcceptDelay
	for {
		conn, err := lis.Accept()
		switch {
		case err == nil:
			delay = minAcceptDelay
			s.startConn(conn)
		case s.isClosed():
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Annotatef(err, "accept on %s", lis.Addr())
		default:
			// The listener still works: a connection has ended before it was accepted, or
			// the process has no descriptor free.
			if s.OnAcceptError != nil {
				s.OnAcceptError(err)
			}
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
		}
	}
}

// minAcceptDelay and maxAcceptDelay bound the delay after an error of a listener.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 500 * time.Millisecond
)

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) startConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	go s.serveConn(conn)
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.wg.Done()
	peer := conn.RemoteAddr().String()
	codec := &serverCodec{framer: newFramer(&countingConn{Conn: conn, sent: &s.sent, received: &s.received})}
	codec.intake, _ = conn.(Intake)
	codec.onBadFrame = func(err error) {
		if s.OnBadFrame != nil {
			s.OnBadFrame(peer, err)
		}
	}
	s.rpc.ServeCodec(codec)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// ByteCounts returns the number of bytes sent and received so far on all
// connections.
func (s *Server) ByteCounts() (sent, received int64) { return s.sent.Load(), s.received.Load() }

// Close closes the listener and all connections, and waits until the goroutines of
// the connections have ended.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	lis := s.listener
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	var err error
	if lis != nil {
		err = lis.Close()
	}
	s.wg.Wait()
	return err
}
