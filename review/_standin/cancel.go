package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/platform/standin"
)

// cancelCase cancels jobs that run, and looks for tasks that run on, or start, after the time for
// that.
func cancelCase(s *site, trouble bool) (broken []string, err error) {
	s.configure("/deposits/")
	for range 3 {
		if err := s.startEntry(); err != nil {
			return nil, err
		}
	}
	for range 4 {
		if err := s.startSide(64000, "a", "r1-1"); err != nil {
			return nil, err
		}
	}
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	const taskTime = 4500 * time.Millisecond
	task := standin.Task{RunMs: taskTime.Milliseconds(), MilliCPU: 6200}
	first := step{Count: 2, CPU: 6200, MemoryMB: 64, EstimatedMs: taskTime.Milliseconds()}
	second := first
	second.After = []int{0}
	body := jobBody(task, first, second)
	const jobs, cancels = 10, 3
	ids := make([]string, jobs)
	answers := make(chan string, jobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("ca0000000000000%d", i)
		go func() {
			s.rec.printf("client: POST of job %s, two steps of 2 tasks of %v each, to entry %d", ids[i], taskTime, i%3)
			status, text := s.call(newClient(), http.MethodPost, i%3, "/deposits/"+ids[i], body, 12*time.Second)
			answers <- fmt.Sprintf("job %s answered with %d %s", ids[i], status, text)
		}()
	}
	time.Sleep(time.Second)
	cancelled := map[string]time.Time{}
	for i, id := range ids[:cancels] {
		if !trouble {
			break
		}
		client := newClient()
		status, text := s.call(client, http.MethodDelete, i, "/deposits/"+id, nil, time.Second)
		s.rec.printf("client: DELETE of job %s answered with %d %s", id, status, text)
		if status/100 == 2 || status == http.StatusGone {
			cancelled[id] = time.Now()
		}
	}
	for range ids {
		s.rec.printf("client: %s", <-answers)
	}
	for _, m := range s.sides {
		runs, _ := m.worker.History()
		for _, r := range runs {
			id, _, _ := strings.Cut(r.Task, ".")
			s.rec.printf("worker %s: %s of %s", m.worker.ID, r, r.Task)
			at, ok := cancelled[id]
			if !ok {
				continue
			}
			if r.Start.After(at.Add(cancelTime)) {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s started %v after the cancelling of its job was acknowledged, allowed are %v", r.Task, r.Start.Sub(at).Round(time.Millisecond), cancelTime))
			}
			if end := at.Add(cancelTime + stopTimeout); r.End.IsZero() || r.End.After(end) {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s ran until %v after the cancelling of its job was acknowledged, allowed are %v", r.Task, r.End.Sub(at).Round(time.Millisecond), cancelTime+stopTimeout))
			}
		}
	}
	return broken, nil
}
