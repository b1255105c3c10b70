package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against lines of an ID that are missing or out of order, and against events
// of other workers or other times in the output.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	entry := write("entry.log", `I1204 08:00:01.500000 7 broker.go:1] "E8001 job answered" job="aa11" lastWorker="i-1"
I1204 08:00:01.600000 7 broker.go:1] "E8001 job answered" job="bb22" lastWorker="i-2"
no time here aa11
`)
	sidecar := write("side.log", `I1204 07:00:00.000000 9 runner.go:1] "E8007 worker open or closed" worker="i-1" open=true
I1204 08:00:01.100000 9 runner.go:1] "E8007 worker open or closed" worker="i-1" open=false
I1204 08:00:01.200000 9 runner.go:1] "E8003 run ended badly" job="aa11" worker="i-1"
I1204 08:00:01.300000 9 runner.go:1] "E8007 worker open or closed" worker="i-2" open=false
`)
	var out, errs bytes.Buffer
	s := Streams{Out: &out, Err: &errs}
	if code := Main([]string{"cardamomctl", "trace", "aa11", entry, sidecar}, s); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{"01.100000", "01.200000", "01.500000"}
	if len(lines) != len(want) {
		t.Fatalf("got\n%s", out.String())
	}
	for i, w := range want {
		if !strings.Contains(lines[i], w) {
			t.Errorf("line %d is %s, want the line with time %s", i, lines[i], w)
		}
	}
	if code := Main([]string{"cardamomctl", "trace", "cc33", entry}, s); code != ExitError {
		t.Errorf("exit code %d for an unknown ID", code)
	}
	if code := Main([]string{"cardamomctl", "trace", "cc33"}, s); code != ExitUsage {
		t.Errorf("exit code %d without files", code)
	}
}
