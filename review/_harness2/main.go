package main

import (
	"fmt"
	"os"
)

// trouble is false for the run without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// cases plays each case by its name.
var cases = map[string]func(rec *record) error{
	"kinds":  playKinds,
	"idle":   playIdle,
	"cut":    playCut,
	"queue":  playQueue,
	"stress": playStress,
}

// main plays a case and writes its record. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case couldn't run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err == nil {
		err = cases[os.Args[1]](rec)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	}
	fmt.Printf("%d breaks of the rule\n", rec.broken())
	if rec.broken() > 0 {
		os.Exit(1)
	}
}
