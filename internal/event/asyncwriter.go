package event

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes is the largest size of the text that waits to be written.
	maxBufferedBytes = 256 << 10
	// flushDelay is the time for which lines are collected into one write.
	flushDelay = 20 * time.Millisecond
)

// AsyncWriter writes log lines in a goroutine of its own, so that Write never
// blocks. If the reader of the log is slow and the buffer is full, AsyncWriter
// drops new lines and counts them.
type AsyncWriter struct {
	dst      io.Writer
	mu       sync.Mutex
	buffer   []byte
	spare    []byte
	dropped  int
	wake     chan struct{}
	closing  chan struct{}
	finished chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to w until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{dst: w, wake: make(chan struct{}, 1), closing: make(chan struct{}), finished: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It always succeeds.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	if len(a.buffer)+len(line) > maxBufferedBytes {
		a.dropped++
	} else {
		a.buffer = append(a.buffer, line...)
	}
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines and ends the goroutine. Lines passed to Write
// later are lost.
func (a *AsyncWriter) Close() error {
	close(a.closing)
	<-a.finished
	return nil
}

func (a *AsyncWriter) run() {
	defer close(a.finished)
	for {
		select {
		case <-a.wake:
		case <-a.closing:
			a.flush()
			return
		}
		time.Sleep(flushDelay)
		a.flush()
	}
}

func (a *AsyncWriter) flush() {
	a.mu.Lock()
	text, dropped := a.buffer, a.dropped
	a.buffer, a.dropped = a.spare[:0], 0
	a.mu.Unlock()
	if dropped > 0 {
		text = fmt.Appendf(text, "W log lines dropped because the output is slow: %d\n", dropped)
	}
	// An error of the log itself cannot be logged.
	_, _ = a.dst.Write(text)
	a.spare = text
}
