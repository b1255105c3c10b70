// Package chunks collects received bytes in pooled chunks, for input whose announced length can't
// be relied on. A buffer that grows by copies would leave the garbage collector more memory to free
// than the bytes that have arrived.
package chunks

import "sync"

// Size is the size of a chunk in bytes.
const Size = 16 << 10

var pool = sync.Pool{New: func() any { return new([Size]byte) }}

// NextRoom returns the room in bytes to reserve for input of at most limit bytes that has filled the
// room reserved so far: Size first, then twice as much each time. An announced length reserves
// nothing before its bytes arrive.
func NextRoom(room, limit int) int { return min(max(2*room, Size), limit) }

// Buffer collects bytes. The zero value is empty. Release must be called after the last use.
type Buffer struct {
	list   []*[Size]byte
	length int
}

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.length }

// Free returns free space of 1 to Size bytes after the collected bytes.
func (b *Buffer) Free() []byte {
	if b.length == len(b.list)*Size {
		b.list = append(b.list, pool.Get().(*[Size]byte))
	}
	return b.list[b.length/Size][b.length%Size:]
}

// Add adds the first n bytes of the space that Free has returned.
func (b *Buffer) Add(n int) { b.length += n }

// AppendTo appends the collected bytes to a slice.
func (b *Buffer) AppendTo(to []byte) []byte {
	left := b.length
	for _, chunk := range b.list {
		n := min(left, Size)
		to = append(to, chunk[:n]...)
		left -= n
	}
	return to
}

// Truncate keeps the first n bytes.
func (b *Buffer) Truncate(n int) {
	if n >= b.length {
		return
	}
	needed := (n + Size - 1) / Size
	for _, chunk := range b.list[needed:] {
		pool.Put(chunk)
	}
	b.list, b.length = b.list[:needed], n
}

// Release empties the buffer.
func (b *Buffer) Release() {
	for _, chunk := range b.list {
		pool.Put(chunk)
	}
	b.list, b.length = nil, 0
}
