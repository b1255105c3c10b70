package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["cancel"] = cancelCase }

// cancelCase hands in ten jobs of two steps of some seconds each. With the disruption, the clients
// of three of them cancel their job half a second later by a DELETE to the same entry instance.
func cancelCase(s *site, trouble bool) ([]string, error) {
	const (
		jobs, cancelled = 10, 3
		stopTimeout     = 50 * time.Millisecond // stop_timeout_ms
	)
	s.configure(queue{"/checks/", usualSlack})
	if err := s.start(3, 6, 64000, "a"); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	client := newClient()
	var ids []string
	for i := range jobs {
		j := submission{id: fmt.Sprintf("%016x", 0xca00+i), path: "/checks/", entry: i, deadline: 20 * time.Second, tries: 1}
		j.body = jobBody(j.id, 4000, 0, specStep{Count: 4, MilliCPU: 2000, RunMs: 4000}, specStep{Count: 4, MilliCPU: 2000, RunMs: 4000, After: []int{0}})
		ids = append(ids, j.id)
		wg.Go(func() { s.submit(client, j) })
	}
	time.Sleep(500 * time.Millisecond)
	acknowledged := map[string]time.Time{} // by job
	for i := 0; trouble && i < cancelled; i++ {
		status := s.call(client, http.MethodDelete, i%len(s.entries), "/checks/"+ids[i], nil, 4*time.Second, 4*time.Second)
		s.rec.printf("DELETE of job %s at frontend-%d is answered %d", ids[i], i%len(s.entries)+1, status)
		if status/100 == 2 || status == http.StatusGone {
			acknowledged[ids[i]] = time.Now()
		}
	}
	wg.Wait()
	s.recordRuns(ids...)
	var broken []string
	for _, r := range s.hist.all() {
		job, _, _ := strings.Cut(r.task, ".")
		at, ok := acknowledged[job]
		switch {
		case !ok:
		case r.start.Sub(at) > cancelTime:
			broken = append(broken, fmt.Sprintf("UNASKED: %s starts %v after the cancelling of its job was acknowledged", r.task, r.start.Sub(at).Round(time.Millisecond)))
		case r.end.Sub(at) > cancelTime+stopTimeout:
			broken = append(broken, fmt.Sprintf("UNASKED: %s runs on until %v after the cancelling of its job was acknowledged", r.task, r.end.Sub(at).Round(time.Millisecond)))
		}
	}
	slices.Sort(broken)
	return broken, nil
}
