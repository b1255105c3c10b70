package sampleclient

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

const (
	// maxRecorded is the largest recorded time in microseconds.
	maxRecorded = int64(10 * time.Minute / time.Microsecond)
	// digits is the precision of the histograms in significant digits.
	digits = 3
	// barWidth is the width of the longest bar in characters.
	barWidth = 40
)

// times holds the histograms of a sample run, in microseconds.
type times struct {
	response *hdr.Histogram
	run      *hdr.Histogram
}

func newTimes() *times {
	return &times{response: hdr.New(1, maxRecorded, digits), run: hdr.New(1, maxRecorded, digits)}
}

func record(h *hdr.Histogram, d time.Duration) {
	// Longer times than the largest are recorded as the largest.
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), 1), maxRecorded))
}

func (t *times) smallJob(took time.Duration) { record(t.response, took) }

func (t *times) largeJob(a *jobapi.JobAnswer) {
	for _, task := range a.Tasks {
		record(t.run, time.Duration(task.RunMs)*time.Millisecond)
	}
}

func (t *times) print(out io.Writer) {
	printHistogram(out, "response times of jobs of one task", t.response)
	printHistogram(out, "run times of the tasks of the large job", t.run)
}

// printHistogram prints quantiles and a bar for each power of two.
func printHistogram(out io.Writer, title string, h *hdr.Histogram) {
	q := func(p float64) time.Duration {
		return (time.Duration(h.ValueAtQuantile(p)) * time.Microsecond).Round(10 * time.Microsecond)
	}
	fmt.Fprintf(out, "\n%s: %d, p50 %v, p90 %v, p99 %v, max %v\n", title, h.TotalCount(), q(50), q(90), q(99), q(100))
	counts, top := map[int64]int64{}, int64(0)
	for _, bar := range h.Distribution() {
		if bar.Count == 0 {
			continue
		}
		bound := int64(1)
		for bound < bar.To {
			bound *= 2
		}
		counts[bound] += bar.Count
		top = max(top, counts[bound])
	}
	bounds := make([]int64, 0, len(counts))
	for b := range counts {
		bounds = append(bounds, b)
	}
	sort.Slice(bounds, func(i, j int) bool { return bounds[i] < bounds[j] })
	for _, b := range bounds {
		width := int(counts[b]*barWidth/top) + 1
		fmt.Fprintf(out, "%12v %6d %s\n", time.Duration(b)*time.Microsecond, counts[b], strings.Repeat("#", width))
	}
}

// summarise prints how many tasks ran on each worker, and the first and the
// last result.
func summarise(out io.Writer, a *jobapi.JobAnswer) {
	perWorker := map[string]int{}
	for _, t := range a.Tasks {
		perWorker[t.Worker]++
	}
	workers := make([]string, 0, len(perWorker))
	for w := range perWorker {
		workers = append(workers, w)
	}
	sort.Strings(workers)
	for _, w := range workers {
		fmt.Fprintf(out, "  worker %s ran %d tasks\n", w, perWorker[w])
	}
	for _, i := range []int{0, len(a.Tasks) - 1} {
		fmt.Fprintf(out, "  task %d: %s %.100s\n", i, a.Tasks[i].State, a.Tasks[i].Result)
	}
}
