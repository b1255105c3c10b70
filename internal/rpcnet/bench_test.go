package rpcnet

import (
	"context"
	"net"
	"testing"
)

// BenchArgs is exported for net/rpc.
type BenchArgs struct {
	Text  string `msgpack:"t"`
	Bytes []byte `msgpack:"b"`
}

// BenchService is exported for net/rpc.
type BenchService struct{}

// Echo returns its argument.
func (BenchService) Echo(req *BenchArgs, reply *BenchArgs) error {
	*reply = *req
	return nil
}

// BenchmarkCall measures one small call after the other over loopback.
func BenchmarkCall(b *testing.B) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer()
	if err := s.Register("Bench", BenchService{}); err != nil {
		b.Fatal(err)
	}
	go s.Serve(lis)
	defer s.Close()
	c := NewClient(lis.Addr().String())
	defer c.Close()
	req := &BenchArgs{Text: "task", Bytes: []byte("payload")}
	b.ReportAllocs()
	for b.Loop() {
		var reply BenchArgs
		if err := c.Call(context.Background(), "Bench.Echo", req, &reply); err != nil {
			b.Fatal(err)
		}
	}
}
