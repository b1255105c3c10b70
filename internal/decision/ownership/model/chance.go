package model

// chance decides what a world leaves open: delays within their ranges and the order in
// which a process handles what has waited for it. A rand.Rand is one.
type chance interface {
	Int63() int64
	Int63n(n int64) int64
	Intn(n int) int
	Float64() float64
	Shuffle(n int, swap func(i, j int))
}

// longest is a chance without randomness: each delay has its longest value, clocks of
// workers have their lowest rate, and what has waited is handled in order of arrival.
type longest struct {
	// seed is drawn for the ties of placement, and increases with each draw.
	seed int64
	// reversed is true if what has waited is handled in the reverse order.
	reversed bool
}

func (c *longest) Int63() int64 {
	c.seed++
	return c.seed
}

func (*longest) Int63n(n int64) int64 { return n - 1 }

func (*longest) Intn(int) int { return 0 }

func (*longest) Float64() float64 { return 1 }

func (c *longest) Shuffle(n int, swap func(i, j int)) {
	if !c.reversed {
		return
	}
	for i := range n / 2 {
		swap(i, n-1-i)
	}
}
