package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreignCase }

// foreignCase runs jobs all the time. With the disruption, one heartbeat of another writer arrives
// at the control_plane address of a side machine: that of a worker of a service that no
// configuration names.
func foreignCase(s *site, trouble bool) ([]string, error) {
	s.configure(queue{"/checks/", usualSlack})
	if err := s.start(3, 6, 64000, "a"); err != nil {
		return nil, err
	}
	const jobs = 100
	var wg sync.WaitGroup
	client := newClient()
	for i := range jobs {
		j := submission{id: fmt.Sprintf("%016x", 0xd000+i), path: "/checks/", entry: i, deadline: 6 * time.Second, tries: 3}
		j.body = jobBody(j.id, 900, 0, specStep{Count: 4, MilliCPU: 3000, RunMs: 900})
		wg.Go(func() { s.submit(client, j) })
		if i == jobs/2 && trouble {
			w := s.workers[0]
			text := mustJSON(map[string]any{"service": "of-another-system", "address": s.address(strangerHost, workerPort), "zone": zone, "version": "v1", "slots": 8, "state": "ready",
				"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": 64000, "memory_request_mb": 262144, "gpu": 0}, "labels": []string{"a", "r1-0"},
				"clock_ms": 100, "sequence": 1, "born": time.Now().UnixMilli() - 100})
			resp, err := http.Post("http://"+w.report+"/cardamomturn/Instances.Heartbeat/i-other", "application/json", bytes.NewReader(text))
			if err != nil {
				return nil, err
			}
			resp.Body.Close()
			s.rec.printf("a heartbeat of another writer arrives beside %s and is answered %d: %s", w.id, resp.StatusCode, text)
		}
		time.Sleep(80 * time.Millisecond)
	}
	wg.Wait()
	s.recordRuns()
	return s.twice(), nil
}
