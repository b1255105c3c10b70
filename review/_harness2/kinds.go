package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func encodeSpec(s spec) string {
	return fmt.Sprintf(`{"ms":%d,"cpu":%d,"label":%q}`, s.Ms, s.CPU, s.Label)
}

const (
	// firstBeat is the time from a worker's start to its first heartbeat.
	firstBeat = time.Millisecond
	// crashTime is the time for which a crashed worker is down.
	crashTime = 200 * time.Millisecond
)

// playKinds lets one worker of eight crash and start again as another kind, eight times in turn, while
// clients submit jobs of which two in three require a label.
func playKinds(rec *record) error {
	s, err := newSite(rec)
	if err != nil {
		return err
	}
	defer s.close()
	s.configure(queue{"q", "/q/", 0, 3, 1.6, 60})
	if err := s.addEntries(3, false); err != nil {
		return err
	}
	check := func(w *worker, r *taskRun) {
		if r.spec.Label != "" && r.spec.Label != w.who.Kind {
			rec.violation("ROUTE: %s run %d requires %s and starts on worker %s of kind %s, %d ms after its start", r.task, r.attempt, r.spec.Label, w.who.ID, w.who.Kind, w.clock())
		}
	}
	kinds := []string{"a", "a", "b", "a", "a", "b", "a", "b"}
	for i, k := range kinds {
		if err := s.addWorker(identity{fmt.Sprint("i-", i, "-0"), 32000, k, fmt.Sprint("r1-", i/3), 65536}, false, check); err != nil {
			return err
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for i := range 36 {
		wg.Go(func() {
			for ctx.Err() == nil {
				label := []string{"", "a", "b"}[i%3]
				s.submit(i%4%3, "/q/", newID(), job{encodeSpec(spec{Ms: 80, CPU: 2000, Label: label}),
					[]step{{Count: 4, CPU: 2000, Memory: 64, EstimatedMs: 80, Requirements: label}}, true}, 3*time.Second)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for _, i := range []int{0, 2, 1, 5, 3, 7, 4, 6} {
		time.Sleep(2 * time.Second)
		if !trouble {
			continue
		}
		w := s.workers[i]
		w.crash()
		time.Sleep(crashTime)
		kinds[i] = map[string]string{"a": "b", "b": "a"}[kinds[i]]
		if err := w.start(identity{fmt.Sprint("i-", i, "-1"), 32000, kinds[i], fmt.Sprint("r1-", i/3), 65536}, firstBeat); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	stop()
	wg.Wait()
	return nil
}
