package main

import (
	"net"
	"sync"
	"time"
)

// clientDelay is the time from a client to an entry instance, one way, as in the site file.
const clientDelay = 3 * time.Millisecond

// cutLink is a proxy that behaves like a path through a network that can be partitioned: what is sent
// during a partition is sent again after 0.2, 0.6, 1.4, 3 and 6.2 s, as by TCP, and arrives with the
// first of these that the partition doesn't hold up. The end of a connection is sent when the data
// before it has been acknowledged.
type cutLink struct {
	lis    net.Listener
	target string
	delay  time.Duration

	mu   sync.Mutex
	cut  bool
	open map[net.Conn]bool
}

func newCutLink(address, target string, delay time.Duration) (*cutLink, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &cutLink{lis: lis, target: target, delay: delay, open: map[net.Conn]bool{}}
	go func() {
		for {
			in, err := lis.Accept()
			if err != nil {
				return
			}
			go l.serve(in)
		}
	}()
	return l, nil
}

func (l *cutLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *cutLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// pass waits until a packet that is sent now arrives.
func (l *cutLink) pass() {
	for wait := 200 * time.Millisecond; l.isCut(); wait *= 2 {
		time.Sleep(wait)
	}
	time.Sleep(l.delay)
}

func (l *cutLink) serve(in net.Conn) {
	l.pass() // the opening packet
	out, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		in.Close()
		return
	}
	l.mu.Lock()
	l.open[in], l.open[out] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(out, in) })
	wg.Go(func() { l.copy(in, out) })
	wg.Wait()
	in.Close()
	out.Close()
	l.mu.Lock()
	delete(l.open, in)
	delete(l.open, out)
	l.mu.Unlock()
}

func (l *cutLink) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.pass()
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()
				return
			}
			time.Sleep(l.delay) // the acknowledgement
		}
		if err != nil {
			l.pass()
			to.Close()
			return
		}
	}
}

func (l *cutLink) close() {
	l.lis.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.Close()
	}
}

// reset closes the open connections.
func (l *cutLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.Close()
	}
}
