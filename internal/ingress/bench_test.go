package ingress

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkSmallPost measures an ordinary small request on a kept connection, with and without a
// gate.
func BenchmarkSmallPost(b *testing.B) {
	handler := func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(200 + 0*len(ctx.PostBody())) }
	b.Run("gate", func(b *testing.B) { benchmarkPost(b, serve(b, testBounds, handler).address) })
	b.Run("no gate", func(b *testing.B) {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := &fasthttp.Server{Handler: handler, MaxRequestBodySize: testBodyBytes, ReduceMemoryUsage: true, ReadBufferSize: 16 << 10, Logger: quiet{}}
		go s.Serve(lis)
		defer s.Shutdown()
		benchmarkPost(b, lis.Addr().String())
	})
}

func benchmarkPost(b *testing.B, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	request, reader := sized(300), bufio.NewReader(conn)
	var resp fasthttp.Response
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.Copy(conn, strings.NewReader(request)); err != nil {
			b.Fatal(err)
		}
		if err := resp.Read(reader); err != nil {
			b.Fatal(err)
		}
	}
}
