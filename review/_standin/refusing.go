package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["refusing"] = refusingCase }

// refusingCase hands in jobs of some seconds all the time. In spells, some clients leave before
// the answer and repeat their job at another entry instance. With the disruption, one worker after the other
// answers most of its calls with 503 for some seconds.
func refusingCase(s *site, trouble bool) ([]string, error) {
	const (
		sides        = 8
		refusedShare = 0.9
		spell        = 6 * time.Second
		pause        = 2500 * time.Millisecond
		leavingFor   = 3 * time.Second // of each spell, and a second before it
	)
	s.configure(queue{"/checks/", usualSlack})
	if err := s.start(3, sides, 64000, "a"); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	client := newClient()
	var leaving atomic.Bool
	end := time.Now().Add(sides * (spell + pause))
	wg.Go(func() {
		for _, w := range s.workers {
			time.Sleep(pause - time.Second)
			leaving.Store(true)
			time.Sleep(time.Second)
			if trouble {
				w.setRefused(refusedShare)
				s.rec.printf("worker %s answers %.0f%% of its calls with 503", w.id, 100*refusedShare)
			}
			time.Sleep(leavingFor)
			leaving.Store(false)
			time.Sleep(spell - leavingFor)
			w.setRefused(0)
		}
	})
	for i := 0; time.Now().Before(end); i++ {
		j := submission{id: fmt.Sprintf("%016x", 0xe000+i), path: "/checks/", entry: i, deadline: 8 * time.Second, tries: 3}
		j.body = jobBody(j.id, 3000, 0, specStep{Count: 32, MilliCPU: 150, RunMs: 3000})
		if i%5 < 2 && leaving.Load() {
			j.leave = time.Duration(100+i*37%800) * time.Millisecond
		}
		wg.Go(func() { s.submit(client, j) })
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second)
	for _, w := range s.workers {
		s.rec.printf("worker %s: %d of %d calls answered with 503", w.id, w.refused, w.calls)
	}
	if broken := s.twice(); len(broken) > 0 {
		s.recordRuns(jobsOf(broken)...)
		return broken, nil
	}
	s.recordRuns()
	return nil, nil
}

// jobsOf returns the jobs that the descriptions of what broke TWICE name.
func jobsOf(broken []string) []string {
	var jobs []string
	for _, b := range broken {
		var id string
		if _, err := fmt.Sscanf(b, "TWICE: %16s", &id); err == nil {
			jobs = append(jobs, id)
		}
	}
	return jobs
}

// setRefused sets the share of all calls that the worker answers with 503.
func (w *worker) setRefused(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusedShare = share
}
