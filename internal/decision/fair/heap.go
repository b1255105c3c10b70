package fair

// The orders of the heaps. A class with waiting tasks that is not parked is in two
// heaps: the one of all classes, ordered by start tag, and the one of its rank,
// ordered by running tasks per weight. The order is also the index in
// Class.heapPos.
const (
	orderByStartTag = iota
	orderByRunning
	orderCount
)

// heap is a binary heap of classes. It stores the position of each class in
// Class.heapPos, so that any class can be removed or moved.
type heap[T any] struct {
	order int
	rank  int
	items []*Class[T]
}

func (h *heap[T]) less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.order == orderByRunning {
		if x, y := a.runningPerWeight(), b.runningPerWeight(); x != y {
			return x < y
		}
	}
	return a.startTag < b.startTag
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapPos[h.order] = i
	h.items[j].heapPos[h.order] = j
}

func (h *heap[T]) push(c *Class[T]) {
	c.heapPos[h.order] = len(h.items)
	h.items = append(h.items, c)
	h.siftUp(len(h.items) - 1)
}

func (h *heap[T]) remove(c *Class[T]) {
	i, last := c.heapPos[h.order], len(h.items)-1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	c.heapPos[h.order] = -1
	if i < last {
		h.fix(h.items[i])
	}
}

// fix restores the heap order after the key of c has changed.
func (h *heap[T]) fix(c *Class[T]) {
	if i := c.heapPos[h.order]; !h.siftDown(i) {
		h.siftUp(i)
	}
}

func (h *heap[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// siftDown moves the class at i down to its place and reports whether it moved.
func (h *heap[T]) siftDown(i int) bool {
	moved := false
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return moved
		}
		if child+1 < len(h.items) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return moved
		}
		h.swap(i, child)
		i, moved = child, true
	}
}
