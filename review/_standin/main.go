// Command review-standin runs one case of the review: it starts the project's programs as
// separate processes beside stand-ins of the platform, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// caseFunc plays a case, with or without the disruption, and returns descriptions of what broke
// the rule.
type caseFunc func(s *site, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 116 * time.Second

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %v", args[0], trouble)
	s, err := newSite(rec)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return exitFailed
	}
	watchdog := time.AfterFunc(maxRunTime, func() {
		rec.printf("the case could not run: it took more than %v", maxRunTime)
		s.close()
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	defer s.close()
	broken, err := cases[args[0]](s, trouble)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return exitFailed
	}
	const mostListed = 40
	for _, b := range broken[:min(len(broken), mostListed)] {
		rec.printf("BROKEN %s", b)
	}
	if len(broken) > 0 {
		rec.printf("the rule was broken %d times", len(broken))
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}
