package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to the internal port of one process. The sender of a connection is
// recognized by its name in the first bytes, so that single pairs of processes can be cut off from
// each other. A cut is silent: nothing is forwarded in either direction, and nothing is closed.
type proxy struct {
	lis    net.Listener
	target string
	// receiver is the name of the process at the target, and names are those of all processes.
	receiver string
	names    []string
	cut      func(sender, receiver string) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(address, target, receiver string, names []string, cut func(sender, receiver string) bool) (*proxy, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{lis: lis, target: target, receiver: receiver, names: names, cut: cut, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// senderIn returns the first name of another process in the first bytes of a connection. Heartbeats
// and reports of sidecars, batches of entry instances and exchanges between entry instances all
// begin with the name of their sender.
func (p *proxy) senderIn(text []byte) string {
	first, at := "", len(text)
	for _, name := range p.names {
		if i := bytes.Index(text, []byte(name)); name != p.receiver && i >= 0 && i < at {
			first, at = name, i
		}
	}
	return first
}

func (p *proxy) serve(in net.Conn) {
	p.track(in, true)
	defer p.track(in, false)
	defer in.Close()
	buf := make([]byte, 64<<10)
	n, sender := 0, ""
	for sender == "" && n < len(buf) {
		k, err := in.Read(buf[n:])
		if err != nil {
			return
		}
		n += k
		sender = p.senderIn(buf[:n])
	}
	p.waitWhileCut(sender)
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(in)
		return
	}
	p.track(out, true)
	defer p.track(out, false)
	defer out.Close()
	if _, err := out.Write(buf[:n]); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go p.copy(out, in, sender, done)
	go p.copy(in, out, sender, done)
	<-done
	// The end of a connection is held back by a cut like data.
	p.waitWhileCut(sender)
	reset(in)
	reset(out)
	<-done
}

func (p *proxy) waitWhileCut(sender string) {
	for p.cut(sender, p.receiver) {
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *proxy) copy(to, from net.Conn, sender string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.waitWhileCut(sender)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) close() {
	p.lis.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}
