package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/platform/standin"
)

func (s *site) get(address, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		panic(err) // the address is well formed
	}
	req.Host = host
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// within waits for a condition.
func within(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

func (s *site) allReady(d time.Duration) bool {
	return within(d, func() bool {
		for i := range s.o.Entries {
			if s.get(s.at(entryHost+i, readyPort), standin.PathReady) != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// checkConfiguration checks that the newest configuration comes into force
// everywhere, and the queues of earlier ones are gone.
func (s *site) checkConfiguration(r *report) {
	last := fmt.Sprintf("/last%d/", s.version)
	old := slices.Clone(s.prefixes)
	s.configure("/q0/", "/q1/", "/q2/", last)
	for i := range s.o.Entries {
		at := s.at(entryHost+i, callerPort)
		if !within(applyWithin, func() bool { return s.get(at, last) == http.StatusOK }) {
			r.violation("entry-%d does not have the newest configuration after %v", i, applyWithin)
		}
		for _, p := range old {
			if strings.HasPrefix(p, "/x") && s.get(at, p) == http.StatusOK {
				r.violation("entry-%d still has the removed queue %s", i, p)
			}
		}
	}
}

// checkServed checks that each entry instance serves after the faults.
func (s *site) checkServed(ctx context.Context, r *report) {
	if !s.allReady(recovery) {
		r.violation("not all entry instances are ready %v after the faults", recovery)
	}
	client := &http.Client{}
	for i := range s.o.Entries {
		for n := range servedAtEnd {
			id := fmt.Sprintf("%08x%08x", 0xe000+i, n)
			served := within(recovery, func() bool {
				status, _ := s.submit(client, i, "/q0/"+id, 2, standin.Task{RunMs: 30, MilliCPU: 500})
				return status == http.StatusOK || ctx.Err() != nil
			})
			if !served {
				r.violation("entry-%d serves no job after the faults", i)
				break
			}
		}
	}
}

// checkRuns checks what the workers saw against what the callers were told.
func (s *site) checkRuns(r *report, outcomes <-chan outcome) {
	done, started := map[string]bool{}, map[string]bool{}
	for _, w := range s.workers {
		list, excess := w.History()
		if excess > 0 {
			r.violation("%s: %d in use beyond its capacity", w.ID, excess)
		}
		for _, run := range list {
			r.Runs[run.Outcome]++
			started[run.Task[:16]] = true
			if run.Outcome == "done" {
				done[run.Task] = true
			}
		}
	}
	for _, o := range standin.OverlappingRuns(s.workers) {
		r.violation("two runs at once: %s", o)
	}
	for o := range outcomes {
		if o.refused && started[o.id] {
			r.violation("job %s was refused and has run", o.id)
		}
		for i := range o.tasks {
			if name := fmt.Sprintf("%s.0.0.%d", o.id, i); o.completed && !done[name] {
				r.violation("job %s was called completed, task %d has not run to its end", o.id, i)
			}
		}
	}
}
