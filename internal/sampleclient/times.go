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
	// maxRecordedMicros is the longest time that the histograms can record, in
	// microseconds.
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// barWidth is the width of the longest bar in characters, without the one
	// character that every bar has, so that none is empty.
	barWidth = 40
)

// histograms holds the response times of the small jobs and the run times of the tasks
// of the large job, in microseconds.
type histograms struct {
	response *hdr.Histogram
	run      *hdr.Histogram
}

func newHistograms() *histograms {
	return &histograms{response: hdr.New(1, maxRecordedMicros, significantDigits), run: hdr.New(1, maxRecordedMicros, significantDigits)}
}

func record(h *hdr.Histogram, d time.Duration) {
	// A time above maxRecordedMicros is recorded as maxRecordedMicros, so that
	// RecordValue returns no error.
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), 1), maxRecordedMicros))
}

func (h *histograms) recordSmallJob(took time.Duration) { record(h.response, took) }

func (h *histograms) recordLargeJob(a *jobapi.JobAnswer) {
	for _, task := range a.Tasks {
		record(h.run, time.Duration(task.RunMs)*time.Millisecond)
	}
}

func (h *histograms) print(out io.Writer) {
	printHistogram(out, "response times of jobs of one task", h.response)
	printHistogram(out, "run times of the tasks of the large job", h.run)
}

// printHistogram prints quantiles, and a bar for each range of times that ends at a
// power of two microseconds. The longest bar is that of the largest count.
func printHistogram(out io.Writer, title string, h *hdr.Histogram) {
	quantile := func(p float64) time.Duration {
		return (time.Duration(h.ValueAtQuantile(p)) * time.Microsecond).Round(10 * time.Microsecond)
	}
	fmt.Fprintf(out, "\n%s: %d, p50 %v, p90 %v, p99 %v, max %v\n", title, h.TotalCount(), quantile(50), quantile(90), quantile(99), quantile(100))
	counts, maxCount := map[int64]int64{}, int64(0)
	for _, bar := range h.Distribution() {
		if bar.Count == 0 {
			continue
		}
		bound := int64(1)
		for bound < bar.To {
			bound *= 2
		}
		counts[bound] += bar.Count
		maxCount = max(maxCount, counts[bound])
	}
	bounds := make([]int64, 0, len(counts))
	for b := range counts {
		bounds = append(bounds, b)
	}
	sort.Slice(bounds, func(i, j int) bool { return bounds[i] < bounds[j] })
	for _, b := range bounds {
		width := int(counts[b]*barWidth/maxCount) + 1
		fmt.Fprintf(out, "%12v %6d %s\n", time.Duration(b)*time.Microsecond, counts[b], strings.Repeat("#", width))
	}
}

// printSummary prints how many tasks ran on each worker, and the results of the first
// and the last task.
func printSummary(out io.Writer, a *jobapi.JobAnswer) {
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
