package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cardamomturn/cardamomturn/platform/standin"
)

// kindCase restarts a worker without work under its identifier as another kind, and submits a
// job that requires the former kind before the first heartbeat of the new life.
func kindCase(s *site, trouble bool) (broken []string, err error) {
	s.configure("/deposits/")
	for range 3 {
		if err := s.startEntry(); err != nil {
			return nil, err
		}
	}
	for i := range 8 {
		kind := "a"
		if i == 7 {
			kind = "b"
		}
		if err := s.startSide(64000, kind, fmt.Sprint("r1-", 1+i/3)); err != nil {
			return nil, err
		}
	}
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	m := s.sides[7]
	restarted := time.Time{}
	if trouble {
		s.crashWorker(m)
		time.Sleep(time.Second)
		m.worker.Labels = []string{"a", "r1-3"}
		restarted = time.Now()
		if err := s.startWorker(m, heartbeatInterval/2); err != nil {
			return nil, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	task := standin.Task{RunMs: 200, MilliCPU: 6200}
	for i := range 3 {
		id := fmt.Sprintf("fb0000000000000%d", i)
		status, text := s.call(newClient(), http.MethodPost, i, "/deposits/"+id, jobBody(task, step{Count: 2, CPU: 6200, MemoryMB: 64, EstimatedMs: 200, Requirements: "b"}), 1500*time.Millisecond)
		s.rec.printf("client: job %s, which requires kind b, answered by entry %d with %d %s", id, i, status, text)
	}
	time.Sleep(2 * time.Second)
	for i, m := range s.sides {
		runs, _ := m.worker.History()
		for _, r := range runs {
			s.rec.printf("worker %s: %s of %s", m.worker.ID, r, r.Task)
			if i < 7 || trouble && r.Start.After(restarted) {
				broken = append(broken, fmt.Sprintf("ROUTE: task %s, which requires kind b, started on %s, which is of kind a", r.Task, m.worker.ID))
			}
		}
	}
	return broken, nil
}
