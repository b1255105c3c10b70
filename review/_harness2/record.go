// Package main is the stand-ins and the checks of the review cases 6 to 10.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	// violations are the breaks of the rule.
	violations []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: time.Now()}, nil
}

// add writes one line with the time since the start in milliseconds.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%10.1f ms  %s\n", float64(time.Since(r.begin).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// violation records a break of the rule.
func (r *record) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
}

// broken returns the number of breaks so far.
func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.violations)
}
