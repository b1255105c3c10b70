package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/platform/standin"
)

// outcome is what a caller knows of a job at its end.
type outcome struct {
	id    string
	tasks int
	// refused is true if each attempt to hand it in was refused, completed if an
	// answer said so.
	refused, completed bool
}

// call submits jobs as one caller until ctx ends. A job without an answer is
// handed in again, at any entry instance, as callers of the platform do.
func (s *site) call(ctx context.Context, r *report, rnd *rand.Rand, caller int, outcomes chan<- outcome) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		o := outcome{id: fmt.Sprintf("%08x%08x", caller+1, n), tasks: 1 + rnd.Intn(4), refused: true}
		task := standin.Task{RunMs: 20 + rnd.Int63n(200), MilliCPU: 300 + rnd.Int63n(700), Fails: rnd.Intn(50) == 0}
		for range maxAttempts {
			status, body := s.submit(client, rnd.Intn(s.o.Entries), fmt.Sprintf("/q%d/%s", rnd.Intn(3), o.id), o.tasks, task)
			r.count(fmt.Sprint(status))
			if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
				o.refused = false
			}
			if status == http.StatusOK && strings.Contains(body, "completed") {
				o.completed = true
			}
			if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
				break
			}
			time.Sleep(resendAfter)
		}
		outcomes <- o
		time.Sleep(time.Duration(rnd.Intn(60)) * time.Millisecond)
	}
}

// submit returns the status, zero without an answer.
func (s *site) submit(client *http.Client, entry int, path string, tasks int, task standin.Task) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.at(entryHost+entry, callerPort)+path, bytes.NewReader(standin.JobBody(tasks, task)))
	if err != nil {
		panic(err) // the address is well formed
	}
	req.Host = host
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(patience.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}
