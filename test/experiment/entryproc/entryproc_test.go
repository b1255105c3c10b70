package entryproc

import (
	"testing"
	"time"
)

// TestParseCPU guards against reading the wrong fields of /proc/PID/stat, which makes
// the measured processor time of an entry instance wrong.
func TestParseCPU(t *testing.T) {
	text := "42 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 250 50 7 7 20 0 9 0\n"
	if d, err := parseCPU([]byte(text)); err != nil || d != 3*time.Second {
		t.Fatalf("%v, %v, want 3s", d, err)
	}
	for _, bad := range []string{"", "42 (x) S 1", "42 (x) S 1 2 3 4 5 6 7 8 9 10 x 50"} {
		if _, err := parseCPU([]byte(bad)); err == nil {
			t.Errorf("no error for %q", bad)
		}
	}
}
