package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["config"] = configCase }

// configCase lets the operator add a queue, whose slack_factor is 150 with the disruption and usual
// without it, and checks that it is served. Then the operator adds one more queue, and all processes
// are killed right after that is acknowledged, and start again. The case compares the share of the requests
// of the first queue that are served before that and later than recovery_s after it.
func configCase(s *site, trouble bool) ([]string, error) {
	const (
		largeSlack = 150
		spell      = 8 * time.Second
	)
	s.configure(queue{"/checks/", usualSlack})
	if err := s.start(3, 6, 64000, "a"); err != nil {
		return nil, err
	}
	before := s.traffic("before", spell, "/checks/")
	slack := usualSlack
	if trouble {
		slack = largeSlack
	}
	s.configure(queue{"/checks/", usualSlack}, queue{"/archive/", slack})
	added := s.traffic("of the added queue, from 2 s after the acknowledgement on", 0, "/archive/")
	s.configure(queue{"/checks/", usualSlack}, queue{"/archive/", slack}, queue{"/idle/", usualSlack})
	s.rec.printf("all processes are killed")
	for _, p := range s.all {
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay + 200*time.Millisecond)
	s.rec.printf("all processes run again")
	s.traffic("during the recovery", recoveryTime, "/checks/")
	after := s.traffic("after the recovery", spell, "/checks/")
	s.recordRuns()
	var broken []string
	if before >= 0.25 && after < 0.25 {
		broken = append(broken, fmt.Sprintf("RECOVER: of the requests sent later than %v after the machines were back, %.0f%% were served; before, %.0f%%", recoveryTime, 100*after, 100*before))
	}
	if added == 0 {
		broken = append(broken, "CONFIG: requests sent later than configuration_apply_ms after the acknowledgement are answered 404, though the route is there")
	}
	return broken, nil
}

// traffic sends jobs for some time, as clients do that don't repeat them, and returns the share
// that is answered with 200. With a length of zero, it waits for configuration_apply_ms and then
// sends one job to each entry instance.
func (s *site) traffic(name string, length time.Duration, path string) float64 {
	const perSecond = 30
	count := int(length.Seconds() * perSecond)
	if length == 0 {
		time.Sleep(2100 * time.Millisecond)
		count = len(s.entries)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := map[int]int{}
	client := newClient()
	for i := range count {
		s.sent++
		id := fmt.Sprintf("%016x", 0xf000+s.sent)
		wg.Go(func() {
			status := s.call(client, http.MethodPost, i%len(s.entries), path+id, jobBody(id, 60, 0, specStep{Count: 4, MilliCPU: 3000, RunMs: 60}), 1500*time.Millisecond, 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
		})
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
	s.rec.printf("requests %s: %d sent, answers by status (0: none) %v", name, count, answers)
	return float64(answers[http.StatusOK]) / float64(count)
}
