// Package indexedheap is a heap whose elements know their positions, so that any of
// them can be removed or moved.
package indexedheap

import "container/heap"

// None is the position of an element that is in no heap.
const None = -1

// Element is what a Heap holds.
type Element[E any] interface {
	comparable
	// Before reports whether the element is nearer to the top than another.
	Before(E) bool
	// Position returns where the heap keeps the element's position.
	Position() *int
}

// Heap is a heap of elements, the first one at index 0. The zero value is empty.
type Heap[E Element[E]] []E

// Add adds an element.
func (h *Heap[E]) Add(e E) { heap.Push((*items[E])(h), e) }

// Remove removes an element that is in the heap.
func (h *Heap[E]) Remove(e E) { heap.Remove((*items[E])(h), *e.Position()) }

// Fix restores the order after an element in the heap has changed.
func (h *Heap[E]) Fix(e E) { heap.Fix((*items[E])(h), *e.Position()) }

// items implements heap.Interface.
type items[E Element[E]] []E

// Len implements heap.Interface.
func (s items[E]) Len() int { return len(s) }

// Less implements heap.Interface.
func (s items[E]) Less(i, j int) bool { return s[i].Before(s[j]) }

// Swap implements heap.Interface.
func (s items[E]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].Position(), *s[j].Position() = i, j
}

// Push implements heap.Interface.
func (s *items[E]) Push(x any) {
	e := x.(E)
	*e.Position() = len(*s)
	*s = append(*s, e)
}

// Pop implements heap.Interface.
func (s *items[E]) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	var none E
	(*s)[last] = none
	*s = (*s)[:last]
	*e.Position() = None
	return e
}
