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

// Guards against room that is reserved for an announced length before its bytes have arrived, or
// beyond the limit.
func TestNextRoom(t *testing.T) {
	for _, c := range []struct{ room, limit, want int }{
		{0, 10 * Size, Size}, {Size, 10 * Size, 2 * Size}, {2 * Size, 10 * Size, 4 * Size},
		{0, Size - 1, Size - 1}, {4 * Size, 5 * Size, 5 * Size},
	} {
		if got := NextRoom(c.room, c.limit); got != c.want {
			t.Errorf("after %d of at most %d bytes: %d, want %d", c.room, c.limit, got, c.want)
		}
	}
}
