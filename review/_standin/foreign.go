package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/platform/standin"
)

// foreignCase sends one of the sidecars one heartbeat of another writer, with a service that no
// configuration names, and looks for tasks with two runs at a time.
func foreignCase(s *site, trouble bool) (broken []string, err error) {
	s.configure("/deposits/")
	for range 3 {
		if err := s.startEntry(); err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		if err := s.startSide(64000, "a", fmt.Sprint("r1-", 1+i/3)); err != nil {
			return nil, err
		}
	}
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	task := standin.Task{RunMs: 900, MilliCPU: 6200}
	const jobs = 6
	answers := make(chan string, jobs)
	for i := range jobs {
		go func() {
			id := fmt.Sprintf("af0000000000000%d", i)
			status, text := s.call(newClient(), http.MethodPost, i%3, "/deposits/"+id, jobBody(task, step{Count: 4, CPU: 6200, MemoryMB: 64, EstimatedMs: 900}), 3*time.Second)
			answers <- fmt.Sprintf("job %s answered with %d %s", id, status, text)
		}()
	}
	time.Sleep(400 * time.Millisecond)
	if trouble {
		m := s.sides[0]
		body := fmt.Sprintf(`{"service":"unnamed","address":"%s","zone":"z1","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"memory_request_mb":32768,"gpu":0},"labels":["a","r1-9"],"clock_ms":40,"sequence":1,"born":%d}`,
			s.address(90, workerPort), time.Now().UnixMilli())
		resp, err := http.Post(fmt.Sprintf("http://%s:%d/cardamomturn/Instances.Heartbeat/i-other", m.addr, controlPlanePort), "application/json", strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		resp.Body.Close()
		s.rec.printf("heartbeat of another writer to %s, with a service that no configuration names, answered with %d", m.name, resp.StatusCode)
	}
	for range jobs {
		s.rec.printf("client: %s", <-answers)
	}
	time.Sleep(time.Second)
	var workers []*standin.Worker
	for _, m := range s.sides {
		workers = append(workers, m.worker)
		runs, _ := m.worker.History()
		for _, r := range runs {
			s.rec.printf("worker %s: %s of %s", m.worker.ID, r, r.Task)
		}
	}
	for _, o := range standin.OverlappingRuns(workers) {
		broken = append(broken, "TWICE: "+o)
	}
	return broken, nil
}
