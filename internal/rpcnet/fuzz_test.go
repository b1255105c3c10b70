package rpcnet

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/rpc"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// inputConn is a connection that reads from a Reader and discards writes.
type inputConn struct{ io.Reader }

func (inputConn) Write(p []byte) (int, error) { return len(p), nil }
func (inputConn) Close() error                { return nil }

// FuzzFrames guards against received bytes that make the decoder panic or loop
// forever.
func FuzzFrames(f *testing.F) {
	var body bytes.Buffer
	enc := msgpack.NewEncoder(&body)
	if err := enc.Encode(requestHeader{Method: "Sidecar.Dispatch", Seq: 1}); err != nil {
		f.Fatal(err)
	}
	if err := enc.Encode(wire.DispatchRequest{Starts: []wire.Start{{Payload: []byte("{}")}}}); err != nil {
		f.Fatal(err)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(body.Len()))
	f.Add(append(frame, body.Bytes()...))
	f.Add([]byte("\x00\x00\x00\x06\xdf\xff\xff\xff\xff\xc0"))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		codec := &serverCodec{framer: newFramer(inputConn{bytes.NewReader(data)})}
		for {
			var req rpc.Request
			if codec.ReadRequestHeader(&req) != nil {
				return
			}
			if codec.ReadRequestBody(&wire.DispatchRequest{}) != nil {
				return
			}
		}
	})
}
