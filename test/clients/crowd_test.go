//go:build foreignclients

package clients

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	crowdSize = 200
	// sendTimeout bounds what one client sends and receives.
	sendTimeout = 3 * time.Second
	// mostSent bounds the bytes that one client sends.
	mostSent = 6 << 20
)

// variant is what one kind of foreign client does with its connection. The connection has a
// deadline, and stays open until the ordinary request was answered.
type variant struct {
	name   string
	behave func(conn net.Conn, p *port)
}

// header returns the head of a request, with a line that announces the body.
func header(p *port, framing string) string {
	method := p.method
	if method == "GET" {
		method = "POST" // a body with it
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", method, p.path, host, framing)
}

// announce sends a head that announces a body of some size, and the beginning of the body.
func announce(conn net.Conn, p *port, announced, sent int) {
	if _, err := io.WriteString(conn, header(p, fmt.Sprint("Content-Length: ", announced))); err != nil {
		return
	}
	write(conn, bytes.Repeat([]byte{' '}, 64<<10), sent)
}

// write sends the block again and again up to a number of bytes or an error.
func write(conn net.Conn, block []byte, total int) {
	for total > 0 {
		n, err := conn.Write(block[:min(total, len(block))])
		if err != nil {
			return
		}
		total -= n
	}
}

var httpVariants = []variant{
	{"announced, one byte", func(c net.Conn, p *port) { announce(c, p, p.bodyBytes, 1) }},
	{"all but the last byte", func(c net.Conn, p *port) { announce(c, p, p.bodyBytes, p.bodyBytes-1) }},
	{"over the limit", func(c net.Conn, p *port) { announce(c, p, 8<<30, mostSent) }},
	{"endless chunks", func(c net.Conn, p *port) {
		if _, err := io.WriteString(c, header(p, "Transfer-Encoding: chunked")); err == nil {
			write(c, []byte(fmt.Sprintf("%x\r\n%s\r\n", 32<<10, bytes.Repeat([]byte{' '}, 32<<10))), mostSent)
		}
	}},
	{"chunks without the last", func(c net.Conn, p *port) {
		if _, err := io.WriteString(c, header(p, "Transfer-Encoding: chunked")); err == nil {
			chunk := fmt.Sprintf("%x\r\n%s\r\n", 512, bytes.Repeat([]byte{' '}, 512))
			write(c, []byte(chunk), p.bodyBytes/512*len(chunk)-1)
		}
	}},
	{"one huge chunk", func(c net.Conn, p *port) {
		if _, err := fmt.Fprintf(c, "%s%x\r\n", header(p, "Transfer-Encoding: chunked"), p.bodyBytes-2); err == nil {
			write(c, bytes.Repeat([]byte{' '}, 32<<10), p.bodyBytes-3)
		}
	}},
	{"header without end", func(c net.Conn, p *port) {
		if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\n", p.method, p.path); err == nil {
			write(c, []byte("Foreign-Header: 0123456789abcdef\r\n"), 1<<20)
		}
	}},
	{"a byte at a time", func(c net.Conn, p *port) {
		if _, err := io.WriteString(c, header(p, fmt.Sprint("Content-Length: ", p.bodyBytes))); err != nil {
			return
		}
		for range 40 {
			if _, err := c.Write([]byte{' '}); err != nil {
				return
			}
			time.Sleep(sampleInterval)
		}
	}},
	{"answers never read", func(c net.Conn, p *port) {
		write(c, bytes.Repeat([]byte("GET "+p.path+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"), 64), 256<<10)
	}},
	{"closed at once", func(c net.Conn, p *port) {
		announce(c, p, p.bodyBytes, 1)
		c.Close()
	}},
}

// idle is sent by more clients than the process may have descriptors.
var idle = variant{"idle beyond the descriptors", func(net.Conn, *port) {}}

var frameVariants = []variant{
	{"frame announced as huge", func(c net.Conn, p *port) { write(c, []byte{0, 0x40, 0, 0, 0x82}, 5) }},
	{"frame never ended", func(c net.Conn, p *port) {
		if _, err := c.Write([]byte{0, 0x40, 0, 0}); err == nil {
			write(c, make([]byte, 64<<10), 4<<20-1)
		}
	}},
	{"frame over the limit", func(c net.Conn, p *port) { write(c, bytes.Repeat([]byte{0xff}, 64<<10), mostSent) }},
	{"frame a byte at a time", func(c net.Conn, p *port) {
		for _, b := range append([]byte{0, 0x40, 0, 0}, make([]byte, 36)...) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(sampleInterval)
		}
	}},
	{"closed within a frame", func(c net.Conn, p *port) {
		write(c, []byte{0, 0x40, 0, 0, 0x82}, 5)
		c.Close()
	}},
}

// send lets a crowd behave like the variant, and calls meanwhile when all have sent what they send.
func send(t *testing.T, v variant, p *port, size int, meanwhile func()) {
	t.Helper()
	release := make(chan struct{})
	var sent, ended sync.WaitGroup
	for range size {
		sent.Add(1)
		ended.Go(func() {
			conn, err := net.DialTimeout("tcp", p.address, sendTimeout)
			if err != nil {
				sent.Done()
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(sendTimeout)) // fails only on a closed connection
			v.behave(conn, p)
			sent.Done()
			<-release
		})
	}
	sent.Wait()
	meanwhile()
	close(release)
	ended.Wait()
}
