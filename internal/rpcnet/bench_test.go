package rpcnet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
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
func BenchmarkCall(b *testing.B) { benchmarkCalls(b, 1) }

// BenchmarkConcurrentCalls measures small calls of many callers on one connection.
func BenchmarkConcurrentCalls(b *testing.B) { benchmarkCalls(b, 64) }

func benchmarkCalls(b *testing.B, callers int) {
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
	var left atomic.Int64
	left.Store(int64(b.N))
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for left.Add(-1) >= 0 {
				var reply BenchArgs
				if err := c.Call(context.Background(), "Bench.Echo", req, &reply); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	running.Wait()
}
