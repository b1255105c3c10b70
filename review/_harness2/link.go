package main

import (
	"net"
	"sync"
	"time"
)

// link is a proxy in front of a port. Its connections can be made silent: they stay open and
// deliver nothing any more, while new connections work.
type link struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	conns map[*pair]bool
}

type pair struct {
	in, out net.Conn
	mu      sync.Mutex
	silent  bool
}

func newLink(address, target string) (*link, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{lis: lis, target: target, conns: map[*pair]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		in, err := l.lis.Accept()
		if err != nil {
			return
		}
		go l.serve(in)
	}
}

func (l *link) serve(in net.Conn) {
	out, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		in.Close()
		return
	}
	p := &pair{in: in, out: out}
	l.mu.Lock()
	l.conns[p] = true
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(out, in, done)
	go p.copy(in, out, done)
	<-done
	in.Close()
	out.Close()
	<-done
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

func (p *pair) copy(to, from net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if n > 0 && !silent {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if silent {
				time.Sleep(time.Minute) // the other side learns nothing
			}
			return
		}
	}
}

// silence makes the open connections silent for good.
func (l *link) silence() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
		n++
	}
	return n
}

func (l *link) close() {
	l.lis.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.in.Close()
		p.out.Close()
	}
}

// reset closes the open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.in.Close()
		p.out.Close()
	}
}
