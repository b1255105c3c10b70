package metrics

import (
	"math"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// Class holds the histograms and counters of one team and kind. For jobs whose tasks
// run under leases, the team is the name of the queue and the kind is empty.
type Class struct {
	key classKey
	// Response is the time from the receipt of a job to the job's answer.
	Response *Histogram
	// Run is the time that a task ran on the backend server.
	Run *Histogram
	// Wait is the time from the admission of a task to the task's dispatch.
	Wait *Histogram
	// Jobs counts answered jobs by state.
	Jobs *Counters
	// Tasks counts ended tasks by state.
	Tasks *Counters
	// Refused counts refused jobs by reason.
	Refused *Counters

	scope     tally.Scope
	racksOnce sync.Once
	racks     *RackMetrics // see Racks
}

func newClass(root tally.Scope, key classKey) *Class {
	scope := root.Tagged(map[string]string{"team": key.team, "kind": key.kind})
	return &Class{
		key: key, scope: scope,
		Response: newHistogram(scope, "job_response_seconds"),
		Run:      newHistogram(scope, "task_run_seconds"),
		Wait:     newHistogram(scope, "queue_wait_seconds"),
		Jobs:     newCounters(scope, "jobs_total", "state"),
		Tasks:    newCounters(scope, "tasks_total", "state"),
		Refused:  newCounters(scope, "jobs_refused_total", "reason"),
	}
}

func (c *Class) stats() ClassStats {
	return ClassStats{
		Team: c.key.team, Kind: c.key.kind,
		Response: c.Response.Summary(), Run: c.Run.Summary(), Wait: c.Wait.Summary(),
	}
}

// MaxLabelValues bounds the label values of one Counters. Counters counts
// further values under OtherLabelValue.
const MaxLabelValues = 32

// Counters holds one counter for each value of a label, such as a job state. It
// caches the counters because a look-up in a tally scope copies the tags.
type Counters struct {
	scope       tally.Scope
	name, label string

	mu      sync.RWMutex
	byValue map[string]tally.Counter
}

func newCounters(scope tally.Scope, name, label string) *Counters {
	return &Counters{scope: scope, name: name, label: label, byValue: map[string]tally.Counter{}}
}

// Add adds n to the counter of a label value.
func (c *Counters) Add(value string, n int64) { c.counter(value).Inc(n) }

func (c *Counters) counter(value string) tally.Counter {
	c.mu.RLock()
	counter := c.byValue[value]
	c.mu.RUnlock()
	if counter != nil {
		return counter
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byValue[value] == nil && len(c.byValue) >= MaxLabelValues {
		value = OtherLabelValue
	}
	if c.byValue[value] == nil {
		c.byValue[value] = c.scope.Tagged(map[string]string{c.label: value}).Counter(c.name)
	}
	return c.byValue[value]
}

// Histogram records durations for Prometheus and for the summaries of the
// Resource API.
type Histogram struct {
	tally tally.Histogram

	mu      sync.Mutex
	buckets []int64 // one for each bound in resource.BucketBoundsMs, and one for larger values
	sum     float64 // milliseconds
	max     float64 // milliseconds
}

func newHistogram(scope tally.Scope, name string) *Histogram {
	bounds := make(tally.DurationBuckets, len(resource.BucketBoundsMs))
	for i, ms := range resource.BucketBoundsMs {
		bounds[i] = time.Duration(ms * float64(time.Millisecond))
	}
	return &Histogram{tally: scope.Histogram(name, bounds), buckets: make([]int64, len(resource.BucketBoundsMs)+1)}
}

// Record adds one duration.
func (h *Histogram) Record(d time.Duration) {
	h.tally.RecordDuration(d)
	ms := float64(d) / float64(time.Millisecond)
	i := 0
	for i < len(resource.BucketBoundsMs) && ms > resource.BucketBoundsMs[i] {
		i++
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.buckets[i]++
	h.sum += ms
	h.max = math.Max(h.max, ms)
}

// Summary returns the counts and quantiles since the start of the process. It
// interpolates each quantile within the quantile's bucket.
func (h *Histogram) Summary() resource.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summarize(append([]int64(nil), h.buckets...), h.sum, h.max)
}

// Summarize returns the summary of bucket counts for the bounds in
// resource.BucketBoundsMs. sum and max are the sum and the largest of the recorded
// values in milliseconds.
func Summarize(buckets []int64, sum, max float64) resource.Histogram {
	s := resource.Histogram{Max: max, Buckets: buckets}
	for _, n := range buckets {
		s.Count += n
	}
	if s.Count == 0 {
		return resource.Histogram{}
	}
	s.Mean = sum / float64(s.Count)
	s.P50 = Quantile(buckets, max, 0.50)
	s.P90 = Quantile(buckets, max, 0.90)
	s.P99 = Quantile(buckets, max, 0.99)
	return s
}

// Quantile returns the q quantile in milliseconds of bucket counts for the bounds
// in resource.BucketBoundsMs, interpolated within its bucket. It is at most max.
func Quantile(buckets []int64, max, q float64) float64 {
	var total int64
	for _, n := range buckets {
		total += n
	}
	rank := q * float64(total)
	below, lower := 0.0, 0.0
	for i, n := range buckets {
		upper := max
		if i < len(resource.BucketBoundsMs) {
			upper = math.Min(max, resource.BucketBoundsMs[i])
		}
		if n > 0 && below+float64(n) >= rank {
			return lower + (upper-lower)*(rank-below)/float64(n)
		}
		below += float64(n)
		lower = upper
	}
	return max
}
