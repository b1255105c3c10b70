package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["wide"] = wideCase }

// wideCase lets a client hand in wide jobs with the longest task_spec, whose tasks need a worker
// of kind b, of which there are two. Other clients hand in checks, of which some leave and repeat
// their jobs at another entry instance. With the disruption, one of the two workers crashes and is
// back after half a second.
func wideCase(s *site, trouble bool) ([]string, error) {
	const (
		wideJobs, wideTasks = 10, 330
		specBytes           = 4000
		checks, leaving     = 15, 6
		deadline            = 12 * time.Second
	)
	s.configure(queue{"/checks/", usualSlack}, queue{"/wide/", usualSlack})
	if err := s.start(3, 6, 64000, "a", "a", "b"); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	client := newClient()
	for i := range wideJobs {
		id := fmt.Sprintf("%016x", 0xb000+i)
		wg.Go(func() {
			s.submit(client, submission{id: id, path: "/wide/", entry: 0, deadline: deadline, tries: 1,
				body: jobBody(id, 6000, specBytes, specStep{Count: wideTasks, MilliCPU: 10, RunMs: 6000, Label: "b"})})
		})
		time.Sleep(300 * time.Millisecond)
	}
	var detailed []string
	for i := range checks {
		j := submission{id: fmt.Sprintf("%016x", 0xc000+i), path: "/checks/", entry: 0, deadline: deadline, tries: 4}
		j.body = jobBody(j.id, 4000, 0, specStep{Count: 8, MilliCPU: 300, RunMs: 4000, Label: "b"})
		if i < leaving {
			j.leave = 900 * time.Millisecond
		}
		detailed = append(detailed, j.id)
		wg.Go(func() { s.submit(client, j) })
	}
	time.Sleep(400 * time.Millisecond)
	if trouble {
		w := s.workers[2]
		w.crash()
		s.rec.printf("worker %s crashes", w.id)
		time.Sleep(500 * time.Millisecond)
		if err := w.begin(0); err != nil {
			return nil, err
		}
		s.rec.printf("worker %s starts again under its identifier", w.id)
	}
	wg.Wait()
	time.Sleep(time.Second)
	s.recordRuns(detailed...)
	return s.twice(), nil
}
