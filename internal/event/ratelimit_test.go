package event

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// Guards against a flood of one event that fills the log, and against lines left
// out without a trace.
func TestBudget(t *testing.T) {
	e := &Event{Number: 1, Name: "test"}
	now := time.Unix(1000, 0)
	written := 0
	for range 10 * burst {
		if _, ok := spend(e, now); ok {
			written++
		}
	}
	if written != burst {
		t.Errorf("%d lines at once, want %d", written, burst)
	}
	omitted, ok := spend(e, now.Add(time.Second))
	if !ok || omitted != 9*burst {
		t.Errorf("after a second: written %v, %d told as left out, want %d", ok, omitted, 9*burst)
	}
	if omitted, _ := spend(e, now.Add(2*time.Second)); omitted != 0 {
		t.Errorf("%d left out are told twice", omitted)
	}
}

// blocked is a writer that waits until it is released.
type blocked struct {
	bytes.Buffer
	release chan struct{}
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against a process that waits for a slow reader of its log.
func TestOutputNeverBlocks(t *testing.T) {
	b := &blocked{release: make(chan struct{})}
	o := NewOutput(b)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 3 * outputBytes / len(line) {
		if n, err := o.Write(line); n != len(line) || err != nil {
			t.Fatalf("wrote %d, %v", n, err)
		}
	}
	close(b.release)
	o.Close()
	if text := b.String(); !strings.Contains(text, "log lines dropped") || len(text) > 2*outputBytes+4096 {
		t.Errorf("%d bytes, dropped lines told: %v", len(text), strings.Contains(text, "log lines dropped"))
	}
}
