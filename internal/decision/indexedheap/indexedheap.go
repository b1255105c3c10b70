// Package indexedheap provides a heap that stores the position of each element
// in the element, so that any element can be removed or moved.
package indexedheap

import "container/heap"

// NotInHeap is the position that Remove gives to an element. A Heap does not set
// the position of an element that was never added.
const NotInHeap = -1

// Element is the constraint on the elements of a Heap.
type Element[E any] interface {
	comparable
	// Before reports whether the element sorts before another one.
	Before(E) bool
	// Position returns a pointer to the variable in which the heap stores the
	// element's position.
	Position() *int
}

// Heap is a binary heap whose first element is at index 0. The zero value is an
// empty heap.
type Heap[E Element[E]] []E

// Add adds an element that is in no heap.
func (h *Heap[E]) Add(e E) { heap.Push((*items[E])(h), e) }

// Remove removes an element, which must be in the heap.
func (h *Heap[E]) Remove(e E) { heap.Remove((*items[E])(h), *e.Position()) }

// Fix restores the heap order after an element in the heap has changed.
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
	var zero E
	(*s)[last] = zero
	*s = (*s)[:last]
	*e.Position() = NotInHeap
	return e
}
