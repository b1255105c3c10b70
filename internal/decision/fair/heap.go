package fair

// Each class is in two heaps: that of all start tags and that of its rank.
const (
	slotTag = iota
	slotRank
	slots
)

// heap is a binary heap of classes that records their positions.
type heap[T any] struct {
	slot  int
	rank  int
	items []*Class[T]
}

func (h *heap[T]) less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.slot == slotRank {
		if x, y := a.ratio(), b.ratio(); x != y {
			return x < y
		}
	}
	return a.start < b.start
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].pos[h.slot] = i
	h.items[j].pos[h.slot] = j
}

func (h *heap[T]) push(c *Class[T]) {
	c.pos[h.slot] = len(h.items)
	h.items = append(h.items, c)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(c *Class[T]) {
	i, last := c.pos[h.slot], len(h.items)-1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	c.pos[h.slot] = -1
	if i < last {
		h.fix(h.items[i])
	}
}

func (h *heap[T]) fix(c *Class[T]) {
	if i := c.pos[h.slot]; !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(i, p) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h *heap[T]) down(i int) bool {
	moved := false
	for {
		c := 2*i + 1
		if c >= len(h.items) {
			return moved
		}
		if c+1 < len(h.items) && h.less(c+1, c) {
			c++
		}
		if !h.less(c, i) {
			return moved
		}
		h.swap(i, c)
		i, moved = c, true
	}
}
