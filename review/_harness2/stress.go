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

type jobInfo struct {
	steps []step
}

// judge checks all rules that hold for best-effort jobs.
type judge struct {
	rec  *record
	mu   sync.Mutex
	jobs map[string]jobInfo
	done map[string]bool // task name
	live map[string]map[*worker]int
}

func (j *judge) started(w *worker, r *taskRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := strings.Split(r.task, ".")
	info, ok := j.jobs[p[0]]
	k, _ := strconv.Atoi(p[2])
	if !ok || k >= len(info.steps) {
		j.rec.violation("UNASKED %s", r.task)
		return
	}
	st := info.steps[k]
	for _, a := range st.After {
		for i := range info.steps[a].Count {
			if !j.done[fmt.Sprintf("%s.0.%d.%d", p[0], a, i)] {
				j.rec.violation("ORDER %s starts before %d.%d done", r.task, a, i)
				break
			}
		}
	}
	if st.Requirements != "" && st.Requirements != w.who.Kind {
		j.rec.violation("ROUTE label %s on %s", r.task, w)
	}
	n := 0
	for name := range w.running {
		if strings.HasPrefix(name, p[0]+".0."+p[2]+".") {
			n++
		}
	}
	if st.AntiAffinity > 0 && n > st.AntiAffinity {
		j.rec.violation("ROUTE anti_affinity %s: %d on %s, at most %d", r.task, n, w, st.AntiAffinity)
	}
	if u := w.used(); u > w.who.CPU {
		j.rec.violation("LIMIT %s: %d of %d on %s", r.task, u, w.who.CPU, w)
	}
	for o := range j.live[r.task] {
		if o != w && o.up {
			j.rec.violation("TWICE %s on %s and %s", r.task, o, w)
		}
	}
	if j.live[r.task] == nil {
		j.live[r.task] = map[*worker]int{}
	}
	j.live[r.task][w] = r.attempt
}

func (j *judge) ended(w *worker, r *taskRun, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.live[r.task], w)
	if how == "done" {
		j.done[r.task] = true
	}
}

func playStress(rec *record) error {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS_"))
	if seconds == 0 {
		seconds = 60
	}
	faults := strings.Split(os.Getenv("FAULTS"), ",")
	rnd := rand.New(rand.NewSource(seed))
	s, err := newSite(rec)
	if err != nil {
		return err
	}
	defer s.close()
	s.configure(queue{"q", "/q/", 0, 3, 1.6, 60}, queue{"r", "/r/", 1, 3, 3, 2000})
	if err := s.addEntries(3, true); err != nil {
		return err
	}
	j := &judge{rec: rec, jobs: map[string]jobInfo{}, done: map[string]bool{}, live: map[string]map[*worker]int{}}
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
					st := step{Count: 1 + rnd.Intn(5), CPU: 2000, Memory: 64, EstimatedMs: ms, AntiAffinity: rnd.Intn(3), Requirements: label}
					if k > 0 {
						st.After = []int{rnd.Intn(k)}
					}
					steps = append(steps, st)
				}
				id := newID()
				j.mu.Lock()
				j.jobs[id] = jobInfo{steps}
				j.mu.Unlock()
				body := job{encodeSpec(spec{Ms: ms, CPU: 2000, Label: label}), steps, true}
				deadline := time.Duration(1500+rnd.Intn(4000)) * time.Millisecond
				end := time.Now().Add(deadline)
				leaves := rnd.Intn(8) == 0
				for try := 0; try < 4; try++ {
					left := time.Until(end)
					if leaves {
						left = min(left, time.Duration(rnd.Intn(600))*time.Millisecond)
					}
					status, _ := s.submit(rnd.Intn(3), "/q/", id, body, max(left, time.Millisecond))
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
				time.Sleep(time.Duration(rnd.Intn(60)) * time.Millisecond)
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
			p := s.entries[rnd.Intn(3)]
			p.kill()
			time.Sleep(dur / 3)
			_ = p.start()
		case "freezeentry", "freezesidecar":
			p := s.entries[rnd.Intn(3)]
			if f == "freezesidecar" {
				p = s.sidecars[rnd.Intn(len(ids))]
			}
			p.signal(syscall.SIGSTOP)
			time.Sleep(dur)
			p.signal(syscall.SIGCONT)
		case "silent":
			rec.add("silence %d connections", s.links[rnd.Intn(3)].silence())
		case "drop":
			l := s.links[rnd.Intn(3)]
			l.reset()
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
	answers.Range(func(k, v any) bool { fmt.Print(k, ":", *(v.(*int)), " "); return true })
	fmt.Println()
	return nil
}
