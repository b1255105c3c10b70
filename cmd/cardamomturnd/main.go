// Command cardamomturnd runs the roles of cardamomturn.
package main

import (
	"os"

	"github.com/cardamomturn/cardamomturn/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args, daemon.Streams{Out: os.Stdout, Err: os.Stderr}))
}
