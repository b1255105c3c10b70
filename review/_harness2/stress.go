package main

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playStress is no case: it plays random disturbances under random jobs of one to three steps with
// labels, anti_affinity and clients that leave or repeat their jobs, and checks all rules of best-effort
// jobs. Variables: SEED, SECONDS_ (60), FAULTS (names below, separated by commas), ENTRIES (3), IDLE (the
// longest pause of a client in ms) and BIG (up to 150 tasks a step).
func playStress(rec *record) error {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS_"))
	if seconds == 0 {
		seconds = 60
	}
	idle, _ := strconv.Atoi(os.Getenv("IDLE"))
	idle = max(idle, 60)
	big := os.Getenv("BIG") != ""
	entries, _ := strconv.Atoi(os.Getenv("ENTRIES"))
	entries = max(entries, 3)
	faults := strings.Split(os.Getenv("FAULTS"), ",")
	rnd := rand.New(rand.NewSource(seed))
	s, err := newSite(rec)
	if err != nil {
		return err
	}
	defer s.close()
	s.configure(queue{"q", "/q/", 0, 3, 1.6, 60}, queue{"r", "/r/", 1, 3, 3, 2000})
	if err := s.addEntries(entries, true); err != nil {
		return err
	}
	j := newJudge(rec)
	ids := make([]identity, 8)
	for i := range ids {
		ids[i] = identity{fmt.Sprint("i-", i), int64(16000 + 8000*(i%2)), []string{"a", "a", "b"}[i%3], fmt.Sprint("r1-", i/3), 65536}
		if err := s.addWorker(ids[i], true, j.started); err != nil {
			return err
		}
		s.workers[i].onEnd = j.ended
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	var answers sync.Map
	for i := range 24 {
		wg.Go(func() {
			rnd := rand.New(rand.NewSource(seed*1000 + int64(i)))
			for ctx.Err() == nil {
				label := []string{"", "a", "b"}[rnd.Intn(3)]
				ms := int64(40 + rnd.Intn(400))
				var steps []step
				for k := range 1 + rnd.Intn(3) {
					count, cpu := 1+rnd.Intn(5), int64(2000)
					if big {
						count, cpu = 1+rnd.Intn(150), 200
					}
					st := step{Count: count, CPU: cpu, Memory: 64, EstimatedMs: ms, AntiAffinity: affinity(rnd, big), Requirements: label}
					if k > 0 {
						st.After = []int{rnd.Intn(k)}
					}
					steps = append(steps, st)
				}
				id := newID()
				j.mu.Lock()
				j.jobs[id] = &jobInfo{steps: steps}
				j.mu.Unlock()
				body := job{encodeSpec(spec{Ms: ms, CPU: steps[0].CPU, Label: label}), steps, true}
				deadline := time.Duration(1500+rnd.Intn(4000)) * time.Millisecond
				end := time.Now().Add(deadline)
				leaves := rnd.Intn(8) == 0
				var statuses []int
				for try := 0; try < 4; try++ {
					left := time.Until(end)
					if leaves {
						left = min(left, time.Duration(rnd.Intn(600))*time.Millisecond)
					}
					status, _ := s.submit(rnd.Intn(entries), "/q/", id, body, max(left, time.Millisecond))
					statuses = append(statuses, status)
					n, _ := answers.LoadOrStore(status, new(int))
					j.mu.Lock()
					*(n.(*int))++
					j.mu.Unlock()
					if status != 0 && status != 502 && status != 504 || ctx.Err() != nil || time.Now().Add(1300*time.Millisecond).After(end.Add(3*time.Second)) {
						break
					}
					time.Sleep(1300 * time.Millisecond)
					end = time.Now().Add(deadline)
				}
				j.answered(id, statuses)
				time.Sleep(time.Duration(rnd.Intn(idle)) * time.Millisecond)
			}
		})
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for trouble && time.Now().Before(end) {
		time.Sleep(time.Duration(100+rnd.Intn(1200)) * time.Millisecond)
		dur := time.Duration(20+rnd.Intn(2500)) * time.Millisecond
		switch f := faults[rnd.Intn(len(faults))]; f {
		case "worker", "workersame":
			i := rnd.Intn(len(ids))
			w := s.workers[i]
			go func() {
				w.crash()
				time.Sleep(dur)
				who := ids[i]
				if f == "worker" {
					who.ID = fmt.Sprint(ids[i].ID, "-", time.Now().UnixMilli())
				}
				_ = w.start(who, 0)
			}()
		case "sidecar":
			p := s.sidecars[rnd.Intn(len(ids))]
			p.kill()
			time.Sleep(dur / 3)
			_ = p.start()
		case "entry":
			p := s.entries[rnd.Intn(entries)]
			p.kill()
			time.Sleep(dur / 3)
			_ = p.start()
		case "freezeentry", "freezesidecar":
			p := s.entries[rnd.Intn(entries)]
			if f == "freezesidecar" {
				p = s.sidecars[rnd.Intn(len(ids))]
			}
			p.signal(syscall.SIGSTOP)
			time.Sleep(dur)
			p.signal(syscall.SIGCONT)
		case "silent":
			l := s.links[rnd.Intn(entries)]
			l.setCut(true)
			time.AfterFunc(dur, func() { l.setCut(false) })
		case "drop":
			s.links[rnd.Intn(entries)].reset()
		case "late":
			i := rnd.Intn(len(ids))
			s.workers[i].setLate(0.5)
			time.AfterFunc(dur, func() { s.workers[i].setLate(0) })
		}
	}
	if !trouble {
		time.Sleep(time.Until(end))
	}
	stop()
	wg.Wait()
	time.Sleep(3 * time.Second)
	j.final()
	for _, p := range append(append([]*process{}, s.entries...), s.sidecars...) {
		select {
		case <-p.done:
			rec.violation("Fault: process %s has ended by itself", p.name)
		default:
		}
	}
	answers.Range(func(k, v any) bool { fmt.Print(k, ":", *(v.(*int)), " "); return true })
	fmt.Println()
	return nil
}

func affinity(rnd *rand.Rand, big bool) int {
	if big {
		return 40 * rnd.Intn(3)
	}
	return rnd.Intn(3)
}
