package event

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// TestRateLimit guards against a log that is filled by one frequent event, and
// against omitted lines that no line reports.
func TestRateLimit(t *testing.T) {
	e := &Event{Number: 1, Name: "test"}
	now := time.Unix(1000, 0)
	written := 0
	for range 10 * burstLines {
		if _, ok := takeToken(e, now); ok {
			written++
		}
	}
	if written != burstLines {
		t.Errorf("%d lines written at once, want %d", written, burstLines)
	}
	omitted, ok := takeToken(e, now.Add(time.Second))
	if !ok || omitted != 9*burstLines {
		t.Errorf("after a second: written %v, %d reported as omitted, want %d", ok, omitted, 9*burstLines)
	}
	if omitted, _ := takeToken(e, now.Add(2*time.Second)); omitted != 0 {
		t.Errorf("%d omitted lines are reported twice", omitted)
	}
}

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// TestAsyncWriterNeverBlocks guards against a process that blocks on a slow reader
// of its log.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	b := &blockedWriter{release: make(chan struct{})}
	a := NewAsyncWriter(b)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 3 * maxBufferedBytes / len(line) {
		if n, err := a.Write(line); n != len(line) || err != nil {
			t.Fatalf("wrote %d, %v", n, err)
		}
	}
	close(b.release)
	a.Close()
	if text := b.String(); !strings.Contains(text, "log lines dropped") || len(text) > 2*maxBufferedBytes+4096 {
		t.Errorf("%d bytes, dropped lines reported: %v", len(text), strings.Contains(text, "log lines dropped"))
	}
}
