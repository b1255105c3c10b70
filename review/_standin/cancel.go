package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["cancel"] = cancelCase }

// cancelCase hands in a job of two steps of some seconds each. With the disruption, the client
// cancels it half a second later by a DELETE to the same entry instance.
func cancelCase(s *site, trouble bool) ([]string, error) {
	const (
		id          = "00000000000ca9ce"
		stopTimeout = 50 * time.Millisecond // stop_timeout_ms
	)
	s.configure(queue{"/checks/", usualSlack})
	if err := s.start(3, 6, 64000, "a"); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	client := newClient()
	wg.Go(func() {
		s.submit(client, submission{id: id, path: "/checks/", deadline: 20 * time.Second, tries: 1,
			body: jobBody(id, 4000, 0, specStep{Count: 4, MilliCPU: 3000, RunMs: 4000}, specStep{Count: 4, MilliCPU: 3000, RunMs: 4000, After: []int{0}})})
	})
	time.Sleep(500 * time.Millisecond)
	cancelled := time.Time{}
	if trouble {
		status := s.call(client, http.MethodDelete, 0, "/checks/"+id, nil, 4*time.Second, 4*time.Second)
		s.rec.printf("DELETE of job %s is answered %d", id, status)
		if status/100 == 2 || status == http.StatusGone {
			cancelled = time.Now()
		}
	}
	wg.Wait()
	s.recordRuns(id)
	var broken []string
	for _, r := range s.hist.all() {
		switch {
		case cancelled.IsZero() || !strings.HasPrefix(r.task, id):
		case r.start.Sub(cancelled) > cancelTime:
			broken = append(broken, fmt.Sprintf("UNASKED: %s starts %v after the cancelling of its job was acknowledged", r.task, r.start.Sub(cancelled).Round(time.Millisecond)))
		case r.end.Sub(cancelled) > cancelTime+stopTimeout:
			broken = append(broken, fmt.Sprintf("UNASKED: %s runs on until %v after the cancelling of its job was acknowledged", r.task, r.end.Sub(cancelled).Round(time.Millisecond)))
		}
	}
	return broken, nil
}
