// Command cardamomctl submits jobs to cardamomturn and administers it.
package main

import (
	"os"

	"github.com/cardamomturn/cardamomturn/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args, ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
