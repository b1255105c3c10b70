package experiments

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	overheadTaskDuration = 10 * time.Millisecond
	// maxAddedP50Ms and maxAddedP99Ms bound the added latency in milliseconds.
	maxAddedP50Ms    = 0.5
	maxAddedP99Ms    = 2
	minStartsPerCore = 30_000
)

// overhead compares the latency of one-task jobs through one entry instance and one
// sidecar with the latency of direct calls to the backend server. Each runs at a
// concurrency of half the slots.
func overhead(r *run) error {
	d := load.Torno("low")
	d.Zones, d.Entries, d.Workers, d.ZoneDelay, d.ClientDelay = 1, 1, 1, 0, 0
	p, err := r.start(d, d.Document())
	if err != nil {
		return err
	}
	half := r.Duration / 2
	job := load.Arrival{Team: d.Teams[0], Kind: "seat-booking", RunTimes: []time.Duration{overheadTaskDuration}}
	dispatched, err := closedLoop(d.SlotsPerWorker/2, half, func(request string) error {
		job := job
		job.Request = request
		out := p.callers.Submit(job, false)
		if out.Err == nil && !out.Complete() {
			return errors.Errorf("job ended as %s (%s)", out.Answer.State, out.Answer.Reason)
		}
		return out.Err
	})
	if err != nil {
		return errors.Annotate(err, "calls through the dispatcher")
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: d.SlotsPerWorker}}
	address := p.c.Backend(0).Address()
	direct, err := closedLoop(d.SlotsPerWorker/2, half, func(request string) error { return callDirect(client, address, request) })
	if err != nil {
		return errors.Annotate(err, "direct calls")
	}
	r.rep.Sizes["calls"] = float64(len(dispatched))
	for _, q := range []struct {
		name     string
		q, bound float64
	}{{"P50", 0.5, maxAddedP50Ms}, {"P99", 0.99, maxAddedP99Ms}} {
		r.rep.Figure("direct"+q.name+"Ms", report.Ms(report.Quantile(direct, q.q)))
		r.rep.Figure("added"+q.name+"Ms", report.Ms(report.Quantile(dispatched, q.q)-report.Quantile(direct, q.q)))
		r.rep.Target("added"+q.name+"Ms", report.AtMost, q.bound)
	}
	if c, ok := p.c.(cluster.CoreRateMeter); ok {
		rate, err := c.StartsPerCore(half)
		if err != nil {
			return errors.Annotate(err, "starts per core")
		}
		r.rep.Figure("startsPerCoreSecond", rate)
	}
	r.rep.Target("startsPerCoreSecond", report.AtLeast, minStartsPerCore)
	_, err = p.close()
	return err
}

// closedLoop runs a number of callers, each of which makes one call after another for
// the time d. It returns the durations of all calls and the first error.
func closedLoop(callers int, d time.Duration, call func(request string) error) ([]time.Duration, error) {
	var mu sync.Mutex
	var times []time.Duration
	var firstErr error
	var wg sync.WaitGroup
	deadline := time.Now().Add(d)
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(deadline); n++ {
				begin := time.Now()
				err := call(fmt.Sprintf("c%d-%d", c, n))
				elapsed := time.Since(begin)
				mu.Lock()
				times = append(times, elapsed)
				if firstErr == nil {
					firstErr = err
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		}()
	}
	wg.Wait()
	return times, firstErr
}

func callDirect(client *http.Client, address, request string) error {
	body, err := json.Marshal(cluster.Payload{Request: request, RunUs: overheadTaskDuration.Microseconds()})
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequest(http.MethodPost, address+"/run", bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Cardamom-Submission", "direct-"+request)
	req.Header.Set("Cardamom-Task", "0")
	resp, err := client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Trace(err)
}
