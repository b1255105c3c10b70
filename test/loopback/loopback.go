// Package loopback hands out addresses for the processes of tests and
// experiments. Every program uses a loopback address of its own, so that a
// port that is free for a moment, because a process restarts, is not taken by
// a process of another program that runs at the same time.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/juju/errors"
)

// The ports are below those that systems give to outgoing connections, which
// could take the port of a process that is restarting.
const (
	firstPort = 12_000
	portCount = 18_000
)

// nextPort counts the ports handed out.
var nextPort atomic.Int64

// Host returns the loopback address of this program.
func Host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid>>14%200, pid>>7&0x7f, 1+pid&0x7f)
}

// Addresses returns n addresses, "ip:port", on which nothing listens.
func Addresses(n int) ([]string, error) {
	out := make([]string, 0, n)
	for tries := 0; len(out) < n; tries++ {
		if tries == portCount {
			return nil, errors.NotFoundf("%d free ports on %s", n, Host())
		}
		addr := fmt.Sprintf("%s:%d", Host(), firstPort+nextPort.Add(1)%portCount)
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
