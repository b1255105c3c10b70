package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// restartTime is the time after which the worker's process is started again.
const restartTime = 20 * time.Millisecond

// playQueue lets one worker of eight, at which runs are queued, crash and start again at once as another
// kind, eight times in turn. All jobs require a label.
func playQueue(rec *record) error {
	s, err := newSite(rec)
	if err != nil {
		return err
	}
	defer s.close()
	s.configure(queue{"q", "/q/", 0, 3, 3, 3000})
	if err := s.addEntries(2, false); err != nil {
		return err
	}
	check := func(w *worker, r *taskRun) {
		if r.spec.Label != "" && r.spec.Label != w.who.Kind {
			rec.violation("ROUTE: %s run %d requires %s and starts on worker %s of kind %s, %d ms after its start", r.task, r.attempt, r.spec.Label, w.who.ID, w.who.Kind, w.clock())
		}
	}
	kinds := []string{"a", "a", "a", "a", "b", "b", "b", "b"}
	for i, k := range kinds {
		if err := s.addWorker(identity{fmt.Sprint("i-", i, "-0"), 8000, k, fmt.Sprint("r1-", i/3), 65536}, false, check); err != nil {
			return err
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() {
			for ctx.Err() == nil {
				label := []string{"a", "b"}[i%2]
				s.submit(i%4/2, "/q/", newID(), job{encodeSpec(spec{Ms: 300, CPU: 2000, Label: label}),
					[]step{{Count: 4, CPU: 2000, Memory: 64, EstimatedMs: 300, Requirements: label}}, true}, 6*time.Second)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for n, i := range []int{0, 4, 1, 5, 2, 6, 3, 7} {
		time.Sleep(2 * time.Second)
		if !trouble {
			continue
		}
		w := s.workers[i]
		w.crash()
		time.Sleep(restartTime)
		kinds[i] = map[string]string{"a": "b", "b": "a"}[kinds[i]]
		if err := w.start(identity{fmt.Sprint("i-", i, "-", n+1), 8000, kinds[i], fmt.Sprint("r1-", i/3), 65536}, firstBeat); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	stop()
	wg.Wait()
	return nil
}
