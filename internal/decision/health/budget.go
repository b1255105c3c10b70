package health

import "time"

const (
	// budgetWindowSeconds is the length of the sliding window of a retry budget.
	budgetWindowSeconds = 10
	// minRetries is the number of retries allowed in every window, however few
	// tasks have started in it.
	minRetries = 10
	// DefaultRetryPercent is the default bound of retries, in percent of the
	// started tasks.
	DefaultRetryPercent = 10
)

// RetryBudget limits the retries of one class to a percentage of its starts in a
// sliding window, but never below minRetries. The zero value allows only
// minRetries.
type RetryBudget struct {
	Percent      int
	starts       [budgetWindowSeconds]int
	retries      [budgetWindowSeconds]int
	newestSecond int64 // clock second of the newest bucket
	total        struct{ starts, retries int }
}

// RecordStart counts one started task.
func (b *RetryBudget) RecordStart(now time.Duration) {
	b.advance(now)
	b.starts[b.newestSecond%budgetWindowSeconds]++
	b.total.starts++
}

// TryRetry consumes one retry. It returns false if the budget is exhausted.
func (b *RetryBudget) TryRetry(now time.Duration) bool {
	b.advance(now)
	if b.total.retries >= max(minRetries, b.total.starts*b.Percent/100) {
		return false
	}
	b.retries[b.newestSecond%budgetWindowSeconds]++
	b.total.retries++
	return true
}

// advance moves the window to now and clears the buckets that leave it.
func (b *RetryBudget) advance(now time.Duration) {
	second := int64(now / time.Second)
	for n := 0; b.newestSecond < second && n < budgetWindowSeconds; n++ {
		b.newestSecond++
		i := b.newestSecond % budgetWindowSeconds
		b.total.starts -= b.starts[i]
		b.total.retries -= b.retries[i]
		b.starts[i], b.retries[i] = 0, 0
	}
	b.newestSecond = max(b.newestSecond, second)
}
