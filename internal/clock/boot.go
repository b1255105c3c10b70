package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// MinPause is the lateness of a due step from which on a process counts as paused.
const MinPause = 300 * time.Millisecond

// SinceBoot returns the time since the machine started. Unlike the monotonic clock
// of package time it includes the time for which the machine was suspended, so
// that data from before a suspension has its true age afterwards.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux before 2.6.39 lacks this clock. The monotonic clock is the closest
		// substitute.
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
