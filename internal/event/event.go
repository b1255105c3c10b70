// Package event logs numbered events through klog. The meaning of a number never
// changes. docs/EVENTS.md is the catalogue for operators.
//
// Number ranges: 1000 entry, 2000 sidecar, 3000 config, 4000 membership,
// 5000 limits, 6000 rpc, 7000 http, 8000 jobs and runs, 9000 program.
package event

import (
	"context"
	"fmt"

	"k8s.io/klog/v2"
)

// Severity is how urgently an event needs an operator's attention.
type Severity string

// Severities.
const (
	// Info marks an event of normal operation.
	Info Severity = "info"
	// Warning marks a fault that the system handles without an operator.
	Warning Severity = "warning"
	// Error marks a fault that needs an operator if it persists.
	Error Severity = "error"
)

// Event describes one kind of log event.
type Event struct {
	Number   int
	Severity Severity
	// Name is the message of the log line, after the number.
	Name string
	// Meaning is the description of the event on the operators' page.
	Meaning string
	// Action is the recommended action of an operator.
	Action string
}

// String returns the number and the name, for example "E1001 entry started".
func (e *Event) String() string { return fmt.Sprintf("E%04d %s", e.Number, e.Name) }

// Log writes one event with its key-value pairs to the logger of ctx, or to the
// global klog logger if ctx has none. For an event of severity Error, a value of
// type error under the key "err" becomes the error of the log line.
func Log(ctx context.Context, e *Event, pairs ...any) { write(klog.FromContext(ctx), e, pairs) }

// LogTo writes one event with its key-value pairs to a logger.
func LogTo(logger klog.Logger, e *Event, pairs ...any) { write(logger, e, pairs) }

// callDepth is the number of stack frames of this package between klog and the
// caller, so that a log line names the caller's file and line.
const callDepth = 2

func write(logger klog.Logger, e *Event, pairs []any) {
	logger = logger.WithCallDepth(callDepth)
	switch e.Severity {
	case Error:
		remaining, err := splitError(pairs)
		logger.Error(err, e.String(), remaining...)
	case Warning:
		logger.Info(e.String(), append([]any{"severity", string(Warning)}, pairs...)...)
	default:
		logger.Info(e.String(), pairs...)
	}
}

// splitError removes the first pair with the key "err" and a value of type error
// from pairs, and returns the remaining pairs and that error.
func splitError(pairs []any) ([]any, error) {
	for i := 0; i+1 < len(pairs); i += 2 {
		if err, ok := pairs[i+1].(error); ok && pairs[i] == "err" {
			remaining := append([]any{}, pairs[:i]...)
			return append(remaining, pairs[i+2:]...), err
		}
	}
	return pairs, nil
}

// All returns all events, ordered by number.
func All() []*Event {
	var all []*Event
	for _, area := range [][]*Event{entryEvents, sidecarEvents, configEvents, membershipEvents, limitEvents, rpcEvents, httpEvents, jobEvents, programEvents} {
		all = append(all, area...)
	}
	return all
}
