package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxHold is max_hold_ms of the site files, and beatInterval heartbeat_interval_ms.
const (
	maxHold      = time.Second
	beatInterval = 1500 * time.Millisecond
	stopTime     = 10 * time.Millisecond // below stop_timeout_ms
)

// spec is the task_spec of the jobs that the clients send.
type spec struct {
	Ms    int64  `json:"ms"`
	CPU   int64  `json:"cpu"`
	Label string `json:"label,omitempty"`
	Step  string `json:"step,omitempty"`
}

// identity is what a worker process says of itself.
type identity struct {
	ID     string
	CPU    int64
	Kind   string
	Rack   string
	Memory int64
}

type taskRun struct {
	task     string
	attempt  int
	spec     spec
	since    time.Time
	stopping bool
}

// worker is a stand-in for a worker that doesn't guard its capacity (admission_check false).
type worker struct {
	rec     *record
	service string
	address string
	// reportTo is the control_plane address on its machine.
	reportTo string
	// onStart is called with mu held when a run starts; it may be nil.
	onStart func(w *worker, r *taskRun)
	onEnd   func(w *worker, r *taskRun, how string)
	// late is the share of the calls that get no answer and are carried out 2 to 12 s later.
	late float64

	mu       sync.Mutex
	who      identity
	up       bool
	draining bool
	server   *http.Server
	began    time.Time
	sequence uint64
	token    int64
	deadline time.Time
	running  map[string]*taskRun
	highest  map[string]int // by task, the highest attempt that has ended or was stopped here
	finished [][]any
	lastEnd  uint64
	changed  chan struct{}
	life     chan struct{} // closed when the process ends
	starts   int
}

// start starts a worker process, which knows nothing of an earlier one, and begins its heartbeats
// after firstBeat.
func (w *worker) start(who identity, firstBeat time.Duration) error {
	lis, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.who, w.up, w.draining, w.began = who, true, false, time.Now()
	w.sequence, w.token, w.lastEnd, w.deadline = 0, 0, 0, time.Time{}
	w.running, w.highest, w.finished = map[string]*taskRun{}, map[string]int{}, nil
	w.changed, w.life = make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cardamomturn/run-start", w.handle(w.life, w.runStart))
	mux.HandleFunc("POST /cardamomturn/run-stop", w.handle(w.life, w.runStop))
	mux.HandleFunc("POST /cardamomturn/hold", w.hold(w.life))
	w.server = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	go func(s *http.Server) { _ = s.Serve(lis) }(w.server)
	go w.work(w.life)
	go w.beats(w.life, firstBeat)
	w.rec.add("worker %s at %s starts as kind %s with %d thousandths of a core", who.ID, w.address, who.Kind, who.CPU)
	return nil
}

// crash ends the process with all that runs.
func (w *worker) crash() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	server := w.server
	close(w.life)
	w.rec.add("worker %s crashes with %d runs", w.who.ID, len(w.running))
	if w.onEnd != nil {
		for _, r := range w.running {
			w.onEnd(w, r, "crashed")
		}
	}
	w.running = map[string]*taskRun{}
	w.mu.Unlock()
	server.Close()
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() }

// beats sends a heartbeat each beatInterval.
func (w *worker) beats(life chan struct{}, first time.Duration) {
	wait := time.NewTimer(first)
	defer wait.Stop()
	for {
		select {
		case <-life:
			return
		case <-wait.C:
		}
		w.beat(life)
		wait.Reset(beatInterval)
	}
}

func (w *worker) beat(life chan struct{}) {
	w.mu.Lock()
	select {
	case <-life:
		w.mu.Unlock()
		return
	default:
	}
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	id := w.who.ID
	body, _ := json.Marshal(map[string]any{"service": w.service, "address": w.address, "zone": "z", "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": w.who.CPU, "memory_request_mb": w.who.Memory, "gpu": 0},
		"labels": []string{w.who.Kind, w.who.Rack}, "clock_ms": w.clock(), "sequence": w.sequence, "born": w.began.UnixMilli()})
	w.mu.Unlock()
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+w.reportTo+"/cardamomturn/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp.Body.Close()
	w.rec.add("worker %s heartbeat %d (%s, kind %s, %d) answered %d", id, w.sequence, state, w.who.Kind, w.who.CPU, resp.StatusCode)
}

// work ends the runs that are complete or whose lease has expired.
func (w *worker) work(life chan struct{}) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-life:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		if ended(life) {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range w.running {
			switch {
			case now.After(w.deadline):
				w.end(r, "lapsed")
			case now.Sub(r.since) >= time.Duration(r.spec.Ms)*time.Millisecond:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run; mu is held.
func (w *worker) end(r *taskRun, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.lastEnd++
	w.finished = append(w.finished, []any{w.lastEnd, r.task, r.attempt, how, ""})
	w.rec.add("worker %s: %s run %d ends %s after %d ms", w.who.ID, r.task, r.attempt, how, time.Since(r.since).Milliseconds())
	if w.onEnd != nil {
		w.onEnd(w, r, how)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"task_spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     uint64 `json:"last_seen"`
	WaitMs       int64  `json:"wait_ms"`
}

func reply(rw http.ResponseWriter, status int, body map[string]any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// ended reports whether the process that a call has reached has ended; mu is held.
func ended(life chan struct{}) bool {
	select {
	case <-life:
		return true
	default:
		return false
	}
}

// handle decodes an order to one process and answers it.
func (w *worker) handle(life chan struct{}, do func(o order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		var o order
		if json.NewDecoder(req.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		if ended(life) {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != w.who.ID {
			w.mu.Unlock()
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if w.late > 0 && rand.Float64() < w.late {
			w.mu.Unlock()
			time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if !ended(life) {
					do(o)
				}
			})
			<-req.Context().Done()
			return
		}
		status, body := do(o)
		body["clock_ms"] = w.clock()
		w.mu.Unlock()
		reply(rw, status, body)
	}
}

// fenced checks and keeps the fencing token; mu is held.
func (w *worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend extends the leases of all runs; mu is held.
func (w *worker) extend(deadlineMs int64) {
	end := w.began.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if end.After(w.deadline) {
		w.deadline = end
	}
}

// used returns the processor capacity that is used; mu is held.
func (w *worker) used() (cpu int64) {
	for _, r := range w.running {
		cpu += r.spec.CPU
	}
	return cpu
}

func (w *worker) runStart(o order) (int, map[string]any) {
	known := w.running[o.Task]
	switch {
	case w.fenced(o.FencingToken):
		return refusal("fence")
	case o.DeadlineMs <= w.clock():
		return refusal("late")
	case known != nil && known.attempt == o.Attempt:
		return http.StatusOK, map[string]any{}
	case known != nil, o.Attempt <= w.highest[o.Task]:
		w.extend(o.DeadlineMs)
		return refusal("old")
	}
	var s spec
	if json.Unmarshal([]byte(o.Spec), &s) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	w.extend(o.DeadlineMs)
	r := &taskRun{task: o.Task, attempt: o.Attempt, spec: s, since: time.Now()}
	w.running[o.Task] = r
	w.starts++
	w.rec.add("worker %s (kind %s, %d ms old): starts %s run %d, label wanted %q, in use %d of %d", w.who.ID, w.who.Kind, w.clock(), o.Task, o.Attempt, s.Label, w.used(), w.who.CPU)
	if w.onStart != nil {
		w.onStart(w, r)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) runStop(o order) (int, map[string]any) {
	if w.fenced(o.FencingToken) {
		return refusal("fence")
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	if r := w.running[o.Task]; r != nil && r.attempt <= o.Attempt {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped") // not if the process has ended
		})
	}
	return http.StatusOK, map[string]any{}
}

// maxListed is the number of ends that one answer lists.
const maxListed = 500

// hold answers the calls to hold that reach one process.
func (w *worker) hold(life chan struct{}) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) { w.holdAt(life, rw, req) }
}

func (w *worker) holdAt(life chan struct{}, rw http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if ended(life) {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if w.fenced(o.FencingToken) {
		status, body := refusal("fence")
		body["clock_ms"] = w.clock()
		w.mu.Unlock()
		reply(rw, status, body)
		return
	}
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	for len(w.finished) > 0 && w.finished[0][0].(uint64) <= o.LastSeen {
		w.finished = w.finished[1:]
	}
	changed, wait := w.changed, len(w.finished) == 0 && o.WaitMs > 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-life:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
	}
	w.mu.Lock()
	if ended(life) {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, r := range w.running {
		percent := 100 * time.Since(r.since).Milliseconds() / max(r.spec.Ms, 1)
		running = append(running, []any{r.task, r.attempt, "", min(percent, 99), r.spec.CPU})
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.began.UnixMilli(), "running": running, "finished": append([][]any{}, w.finished[:min(len(w.finished), maxListed)]...)}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

func (w *worker) String() string { return fmt.Sprintf("%s (kind %s)", w.who.ID, w.who.Kind) }

func (w *worker) setLate(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = share
}
