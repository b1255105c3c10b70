// Command cardamomturn-platform runs the roles of cardamomturn on the users'
// platform.
package main

import (
	"os"

	"github.com/cardamomturn/cardamomturn/platform"
)

func main() {
	os.Exit(platform.Main(os.Args, os.Stdout, os.Stderr))
}
