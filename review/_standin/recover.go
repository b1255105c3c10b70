package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cardamomturn/cardamomturn/platform/standin"
)

// recoveryTime is recovery_s.
const recoveryTime = 12 * time.Second

// recoverCase lets the operator add a queue with a large slack_factor. With the disruption, all
// processes are killed right after the acknowledgement. It compares the share of the requests of
// the other queue that are served before and after that.
func recoverCase(s *site, trouble bool) (broken []string, err error) {
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
	const spell = 8 * time.Second
	before := s.traffic("before", spell)
	if err := s.addQueue(largeFactor); err != nil {
		return nil, err
	}
	if trouble {
		s.rec.printf("all processes are killed")
		s.killAll()
	}
	time.Sleep(restartDelay + 500*time.Millisecond) // all processes are back
	s.traffic("during the recovery", recoveryTime)
	after := s.traffic("after the recovery", spell)
	if before >= 0.25 && after < 0.25 {
		broken = append(broken, fmt.Sprintf("RECOVER: of the requests sent later than %v after the machines were back, %.0f%% were served; before, %.0f%%", recoveryTime, 100*after, 100*before))
	}
	return broken, nil
}

// traffic sends jobs for some time, as clients do that don't repeat them, and returns the share
// that is answered with 200.
func (s *site) traffic(name string, length time.Duration) float64 {
	const perSecond = 30
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := map[int]int{}
	client := newClient()
	sent := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / perSecond) {
		entry, id := sent%len(s.entries), fmt.Sprintf("%08x%08x", time.Now().Unix(), sent)
		sent++
		wg.Go(func() {
			body := jobBody(standin.Task{RunMs: 60, MilliCPU: 6200}, step{Count: 2, CPU: 6200, MemoryMB: 64, EstimatedMs: 60})
			status, _ := s.call(client, http.MethodPost, entry, "/deposits/"+id, body, 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
		})
	}
	wg.Wait()
	s.rec.printf("clients, %s: %d requests, by answer (0: none): %v", name, sent, answers)
	return float64(answers[http.StatusOK]) / float64(sent)
}

// killAll kills all processes, which the platform starts again.
func (s *site) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.all {
		p.mu.Lock()
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // an error means that it has ended
		p.mu.Unlock()
	}
}
