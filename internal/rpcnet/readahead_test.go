package rpcnet

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"
)

// blockedConn is a connection whose peer does not read until release is closed.
type blockedConn struct {
	io.Reader
	writing, release chan struct{}
}

func (c blockedConn) Write(p []byte) (int, error) {
	close(c.writing)
	<-c.release
	return len(p), nil
}

func (blockedConn) Close() error { return nil }

// Guards against a client that sends requests without end and reads no answer, of which each would
// wait in a goroutine.
func TestUnreadAnswersStopReading(t *testing.T) {
	frame := encode(t, requestHeader{Method: "Echo.Say", Seq: 1}, Text{})
	frame = append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...)
	conn := blockedConn{bytes.NewReader(bytes.Repeat(frame, readAhead+2)), make(chan struct{}), make(chan struct{})}
	codec := &serverCodec{framer: newFramer(conn)}
	read := func() {
		var req rpc.Request
		if err := codec.ReadRequestHeader(&req); err != nil {
			t.Error(err)
		}
	}
	for range readAhead + 1 {
		read()
	}
	written := make(chan error, 1)
	go func() { written <- codec.WriteResponse(&rpc.Response{}, Text{}) }()
	<-conn.writing
	var released atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		read()
		if !released.Load() {
			t.Error("a request was read while the client did not read an answer")
		}
	}()
	select {
	case <-done:
	case <-time.After(50 * time.Millisecond): // a server that does not wait reads in this time
	}
	released.Store(true)
	close(conn.release)
	<-done
	if err := <-written; err != nil {
		t.Error(err)
	}
}
