package indexedheap

import (
	"testing"

	"pgregory.net/rapid"
)

type element struct{ key, pos int }

func (e *element) Before(o *element) bool { return e.key < o.key }
func (e *element) Position() *int         { return &e.pos }

// TestHeap guards against a first element that is not the smallest, and against
// stored positions that differ from the actual ones.
func TestHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap[*element]
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) { h.Add(&element{key: rapid.IntRange(0, 9).Draw(t, "key")}) },
			"remove": func(t *rapid.T) {
				if len(h) > 0 {
					e := h[rapid.IntRange(0, len(h)-1).Draw(t, "which")]
					if h.Remove(e); e.pos != NotInHeap {
						t.Fatalf("position %d after the removal", e.pos)
					}
				}
			},
			"change": func(t *rapid.T) {
				if len(h) > 0 {
					e := h[rapid.IntRange(0, len(h)-1).Draw(t, "which")]
					e.key = rapid.IntRange(0, 9).Draw(t, "key")
					h.Fix(e)
				}
			},
			"": func(t *rapid.T) {
				for i, e := range h {
					if e.pos != i || e.key < h[0].key {
						t.Fatalf("element %d: position %d, key %d, first key %d", i, e.pos, e.key, h[0].key)
					}
				}
			},
		})
	})
}
