package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// applyTime is configuration_apply_ms.
const applyTime = 2 * time.Second

// configCase lets the operator add a queue, and asks each node for it when the configuration has
// to be in force. With the disruption, the queue's slack_factor is large; without it, it is that
// of the other queues.
func configCase(s *site, trouble bool) (broken []string, err error) {
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
	factor := usualFactor
	if trouble {
		factor = largeFactor
	}
	if err := s.addQueue(factor); err != nil {
		return nil, err
	}
	acked := time.Now()
	time.Sleep(applyTime + 500*time.Millisecond)
	refused := make([]int, len(s.entries))
	client := newClient()
	const asks = 10
	for range asks {
		for i := range s.entries {
			added, _ := s.call(client, http.MethodGet, i, "/statements/", nil, time.Second)
			known, _ := s.call(client, http.MethodGet, i, "/deposits/", nil, time.Second)
			s.rec.printf("entry %d, %v after the acknowledgement: GET /statements/ answered with %d, GET /deposits/ with %d", i, time.Since(acked).Round(time.Millisecond), added, known)
			if added == http.StatusNotFound {
				refused[i]++
			}
		}
		time.Sleep(time.Second)
	}
	for i, n := range refused {
		if n > 0 {
			broken = append(broken, fmt.Sprintf("CONFIG: entry %d refused %d of %d requests for the added route with 404, from 2.5 s after the acknowledgement on", i, n, asks))
		}
	}
	return broken, nil
}

// usualFactor is the slack_factor of the site's queues. With largeFactor, jobs with a task of 60 ms
// are due within 9 s.
const (
	usualFactor = 1.6
	largeFactor = 150.0
)

// addQueue writes a configuration that has one more queue, with the given slack_factor.
func (s *site) addQueue(factor float64) error {
	s.version += 3
	route := func(name, prefix string, rank int, factor float64) map[string]any {
		return map[string]any{"name": name, "host": httpHost, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 1500,
			"target_duration_ms": 60, "priority": rank, "service": service, "max_attempts": 3, "slack_factor": factor}
	}
	text, err := json.Marshal(map[string]any{"version": s.version,
		"routes":   []any{route("r-deposits", "/deposits/", 0, usualFactor), route("r-statements", "/statements/", 2, factor)},
		"services": []any{map[string]any{"name": service, "max_connections": 64, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	if err != nil {
		return err
	}
	s.store.Put("op/config", string(text))
	s.rec.printf("operator: %s", text)
	return nil
}
