package chunks

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// Guards against bytes that are lost or in another order at the border of two chunks, and against
// bytes of an earlier buffer.
func TestBuffer(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		var b Buffer
		var want []byte
		for range random.IntN(8) {
			space := b.Free()
			n := random.IntN(len(space) + 1)
			for i := range n {
				space[i] = byte(random.Uint32())
			}
			want = append(want, space[:n]...)
			b.Add(n)
		}
		if got := b.AppendTo(nil); !bytes.Equal(got, want) || b.Len() != len(want) {
			t.Fatalf("%d bytes differ from the %d that were added", len(got), len(want))
		}
		b.Release()
		if b.Len() != 0 {
			t.Fatal("not empty after Release")
		}
	}
}
