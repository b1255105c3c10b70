// Package failstop ends the process on a panic in code that changes state. The servers of a process
// recover from panics in the handlers of single requests, which must not end it. A panic in the
// middle of a change leaves the state half changed, so nothing may act on it any more.
package failstop

import (
	"fmt"
	"runtime/debug"
)

// OnPanic ends the process if the function that defers it panics. The locks that the function holds
// stay locked meanwhile.
func OnPanic() {
	v := recover()
	if v == nil {
		return
	}
	message := fmt.Sprintf("%v\n%s", v, debug.Stack())
	go panic(message) // nothing recovers from it there
	select {}
}
