package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/platform/standin"
)

// answer is what a client got: the status, zero without an answer, and the body.
type answer struct {
	status int
	body   string
	at     time.Time
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, a.body))
}

func newJobID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// call sends one request on a connection of its own.
func (c *cluster) call(method string, entry int, path string, body []byte, wait time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.callerAddress(entry)+path, bytes.NewReader(body))
	if err != nil {
		return answer{at: time.Now()}
	}
	req.Host = httpHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(standin.HeaderDeadline, strconv.FormatInt(wait.Milliseconds(), 10))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{at: time.Now()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{at: time.Now()}
	}
	return answer{status: resp.StatusCode, body: string(text), at: time.Now()}
}

// post hands a job in, and remove cancels it. Both are recorded.
func (c *cluster) post(entry int, job string, body []byte, wait time.Duration) answer {
	c.rec.logf("POST /q0/%s sent to %s, %d ms to the deadline", job, entryName(entry), wait.Milliseconds())
	a := c.call(http.MethodPost, entry, "/q0/"+job, body, wait)
	c.rec.logf("POST /q0/%s at %s answered: %v", job, entryName(entry), a)
	return a
}

func (c *cluster) remove(entry int, job string) answer {
	c.rec.logf("DELETE /q0/%s sent to %s", job, entryName(entry))
	a := c.call(http.MethodDelete, entry, "/q0/"+job, nil, acknowledgeTime)
	c.rec.logf("DELETE /q0/%s at %s answered: %v", job, entryName(entry), a)
	return a
}

// chain returns a best-effort job of steps with one task each, one after the other.
func chain(steps int, taskTime time.Duration) []byte {
	task := standin.Task{RunMs: taskTime.Milliseconds(), MilliCPU: 1000}
	var list []any
	for i := range steps {
		step := map[string]any{"count": 1, "cpu": task.MilliCPU, "memory_request_mb": 64, "estimated_ms": task.RunMs}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		list = append(list, step)
	}
	text, _ := json.Marshal(map[string]any{"task_spec": task.Payload(), "best_effort": true, "steps": list})
	return text
}
