package health

import "time"

const (
	// budgetSeconds is the window of a retry budget in seconds.
	budgetSeconds = 10
	// minRetries is the number of retries that any window allows.
	minRetries = 10
	// DefaultRetryPercent bounds retries relative to starts, in percent.
	DefaultRetryPercent = 10
)

// Budget bounds the retries of one class. The zero value allows no percentage
// of the starts, only the minimum.
type Budget struct {
	Percent int
	starts  [budgetSeconds]int
	retries [budgetSeconds]int
	second  int64 // of the newest bucket
	sum     struct{ starts, retries int }
}

// Started counts a start.
func (b *Budget) Started(now time.Duration) {
	b.advance(now)
	b.starts[b.second%budgetSeconds]++
	b.sum.starts++
}

// Retry takes one retry; it reports false if the budget is spent.
func (b *Budget) Retry(now time.Duration) bool {
	b.advance(now)
	if b.sum.retries >= max(minRetries, b.sum.starts*b.Percent/100) {
		return false
	}
	b.retries[b.second%budgetSeconds]++
	b.sum.retries++
	return true
}

// advance empties the buckets that have become too old.
func (b *Budget) advance(now time.Duration) {
	second := int64(now / time.Second)
	for n := 0; b.second < second && n < budgetSeconds; n++ {
		b.second++
		i := b.second % budgetSeconds
		b.sum.starts -= b.starts[i]
		b.sum.retries -= b.retries[i]
		b.starts[i], b.retries[i] = 0, 0
	}
	b.second = max(b.second, second)
}
