package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
)

type jobInfo struct {
	steps    []step
	statuses []int
	started  bool
}

func newJudge(rec *record) *judge {
	return &judge{rec: rec, jobs: map[string]*jobInfo{}, done: map[string]bool{}, live: map[string]map[*worker]int{}}
}

// submitted records a job that a client submits.
func (j *judge) submitted(id string, body job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id] = &jobInfo{steps: body.Steps}
}

// judge checks all rules that hold for best-effort jobs.
type judge struct {
	rec  *record
	mu   sync.Mutex
	jobs map[string]*jobInfo
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
	info.started = true
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

// answered records the answers to a job's submissions, zero for none.
func (j *judge) answered(id string, statuses []int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	info := j.jobs[id]
	info.statuses = statuses
	if len(statuses) > 0 && statuses[len(statuses)-1] == 200 {
		for k, st := range info.steps {
			for i := range st.Count {
				if !j.done[fmt.Sprintf("%s.0.%d.%d", id, k, i)] {
					j.rec.violation("MIXED %s is answered with 200 before %d.%d is done", id, k, i)
				}
			}
		}
	}
}

// final checks the jobs of which all submissions were rejected.
func (j *judge) final() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, info := range j.jobs {
		rejected := len(info.statuses) > 0
		for _, s := range info.statuses {
			rejected = rejected && (s == 429 || s == 503)
		}
		if rejected && info.started {
			j.rec.violation("REFUSED %s: %v", id, info.statuses)
		}
	}
}
