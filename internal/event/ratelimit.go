package event

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// linesPerSecond is the refill rate of an event's token bucket, and burstLines
	// its capacity. One token allows one log line.
	linesPerSecond = 25
	burstLines     = 50
)

// tokenBucket limits the rate of log lines of one event. omitted counts the lines
// left out since the last line that was written.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
	omitted   int
}

var buckets struct {
	sync.Mutex
	byEvent map[*Event]*tokenBucket
}

// LogRateLimited writes an event unless the event's token bucket is empty. The
// next line of the event holds the number of omitted lines under "omitted".
func LogRateLimited(e *Event, pairs ...any) {
	omitted, ok := takeToken(e, time.Now())
	if !ok {
		return
	}
	if omitted > 0 {
		pairs = append(pairs, "omitted", omitted)
	}
	write(klog.Background(), e, pairs)
}

// takeToken takes a token from the bucket of an event. If ok, omitted is the
// number of lines omitted since the last token.
func takeToken(e *Event, now time.Time) (omitted int, ok bool) {
	buckets.Lock()
	defer buckets.Unlock()
	b := buckets.byEvent[e]
	if b == nil {
		b = &tokenBucket{tokens: burstLines, updatedAt: now}
		if buckets.byEvent == nil {
			buckets.byEvent = map[*Event]*tokenBucket{}
		}
		buckets.byEvent[e] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.updatedAt).Seconds()*linesPerSecond, burstLines)
	b.updatedAt = now
	if b.tokens < 1 {
		b.omitted++
		return 0, false
	}
	b.tokens--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}
