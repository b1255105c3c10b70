// Package loopback allocates addresses for the processes of tests and
// experiments. Every test program uses its own loopback address. A port that is
// free for a moment while a process restarts is therefore not taken by a process
// of another test program that runs at the same time.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/juju/errors"
)

// Range of the allocated ports. It is below the ephemeral port range of the
// operating system, because an outgoing connection could otherwise take the port
// of a process that is restarting.
const (
	firstPort = 12_000
	portCount = 18_000
)

// triedPorts counts the ports that Addresses has tried, the occupied ones included.
var triedPorts atomic.Int64

// Host returns the loopback address of this program.
func Host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid>>14%200, pid>>7&0x7f, 1+pid&0x7f)
}

// Addresses returns n addresses, "ip:port", on which no process listens.
func Addresses(n int) ([]string, error) {
	out := make([]string, 0, n)
	for attempts := 0; len(out) < n; attempts++ {
		if attempts == portCount {
			return nil, errors.NotFoundf("%d free ports on %s", n, Host())
		}
		addr := fmt.Sprintf("%s:%d", Host(), firstPort+triedPorts.Add(1)%portCount)
		lis, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		if err := lis.Close(); err != nil {
			return nil, errors.Annotatef(err, "release %s", addr)
		}
		out = append(out, addr)
	}
	return out, nil
}
