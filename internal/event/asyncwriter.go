package event

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// outputBytes bounds the text that waits to be written.
	outputBytes = 256 << 10
	// outputDelay gathers lines into one write.
	outputDelay = 20 * time.Millisecond
)

// Output is a writer for log lines that never blocks: lines that a slow reader
// of the log leaves no room for are dropped and counted.
type Output struct {
	to      io.Writer
	mu      sync.Mutex
	text    []byte
	spare   []byte
	dropped int
	wake    chan struct{}
	done    chan struct{}
	ended   chan struct{}
}

// NewOutput returns an Output that writes to w until Close.
func NewOutput(w io.Writer) *Output {
	o := &Output{to: w, wake: make(chan struct{}, 1), done: make(chan struct{}), ended: make(chan struct{})}
	go o.run()
	return o
}

// Write implements io.Writer. It always succeeds.
func (o *Output) Write(line []byte) (int, error) {
	o.mu.Lock()
	if len(o.text)+len(line) > outputBytes {
		o.dropped++
	} else {
		o.text = append(o.text, line...)
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what waits and ends the output.
func (o *Output) Close() error {
	close(o.done)
	<-o.ended
	return nil
}

func (o *Output) run() {
	defer close(o.ended)
	for {
		select {
		case <-o.wake:
		case <-o.done:
			o.flush()
			return
		}
		time.Sleep(outputDelay)
		o.flush()
	}
}

func (o *Output) flush() {
	o.mu.Lock()
	text, dropped := o.text, o.dropped
	o.text, o.dropped = o.spare[:0], 0
	o.mu.Unlock()
	if dropped > 0 {
		text = fmt.Appendf(text, "W log lines dropped because the output is slow: %d\n", dropped)
	}
	// The log is the place for errors; one of its own has nowhere to go.
	_, _ = o.to.Write(text)
	o.spare = text
}
