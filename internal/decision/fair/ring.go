package fair

// ring is a FIFO queue in a ring buffer; pushing does not allocate per element.
type ring[E any] struct {
	buf  []E
	head int
	size int
}

func (r *ring[E]) push(e E) {
	if r.size == len(r.buf) {
		grown := make([]E, max(8, 2*len(r.buf)))
		for i := range r.size {
			grown[i] = r.buf[(r.head+i)%len(r.buf)]
		}
		r.buf, r.head = grown, 0
	}
	r.buf[(r.head+r.size)%len(r.buf)] = e
	r.size++
}

func (r *ring[E]) front() E { return r.buf[r.head] }

func (r *ring[E]) pop() {
	var zero E
	r.buf[r.head] = zero
	r.head = (r.head + 1) % len(r.buf)
	r.size--
}
