// Command harness runs one case of the review: it starts the product's processes with stand-ins,
// disturbs them unless TROUBLE=0, and checks the rule that the case is about. Its exit code is 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name. A case returns what was broken, empty if the rule held.
var cases = map[string]func(c *cluster, trouble bool) (broken string, err error){
	"cancel-at-a-cut-node":      cancelAtCutNode,
	"cancel-and-restarted-node": cancelAndRestartedNode,
	"cancel-on-a-dropped-route": cancelOnDroppedRoute,
}

// recorder writes what happens to record.txt, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) logf(format string, args ...any) { r.logAt(time.Now(), format, args...) }

func (r *recorder) logAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

const timeLimit = 110 * time.Second

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &recorder{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, trouble %v", os.Args[1], trouble)
	c, err := newCluster(rec)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		rec.logf("could not run: %v", err)
		return 2
	}
	type result struct {
		broken string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		if !c.awaitReady(20*time.Second, 0, 1, 2) {
			results <- result{err: fmt.Errorf("the entry instances do not become ready")}
			return
		}
		time.Sleep(2 * time.Second) // all sidecars are attached
		broken, err := cases[os.Args[1]](c, trouble)
		results <- result{broken, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-results:
	case <-time.After(timeLimit):
		r.err = fmt.Errorf("the time limit was reached")
	case <-ended:
		r.err = fmt.Errorf("ended by a signal")
	}
	switch {
	case r.err != nil:
		rec.logf("could not run: %v", r.err)
		return 2
	case r.broken != "":
		rec.logf("BROKEN: %s", r.broken)
		return 1
	}
	rec.logf("held")
	return 0
}

func main() { os.Exit(run()) }
