package rpcnet

import (
	"context"
	"net"
	"testing"
)

// BenchArgs is exported because net/rpc requires exported argument types.
type BenchArgs struct {
	Text  string `msgpack:"t"`
	Bytes []byte `msgpack:"b"`
}

// BenchService is exported because net/rpc requires exported service types.
type BenchService struct{}

// Echo returns its argument.
func (BenchService) Echo(req *BenchArgs, reply *BenchArgs) error {
	*reply = *req
	return nil
}

// BenchmarkCall measures sequential small calls over the loopback interface.
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
