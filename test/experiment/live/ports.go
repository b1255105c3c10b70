package live

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/juju/errors"
)

// The listening ports are below those that systems give to outgoing
// connections, which could take the port of a process that is restarting.
const (
	firstPort = 12_000
	portCount = 16_000
	// portStride spreads the ports of several programs.
	portStride = 499
)

// nextPort counts the ports handed out, so that clusters in one program don't
// share any.
var nextPort atomic.Int64

// freeAddress returns a loopback address for a process that starts later.
func freeAddress() (string, error) {
	for range portCount {
		n := int64(os.Getpid())*portStride + nextPort.Add(1)
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount)
		if lis, err := net.Listen("tcp", addr); err == nil {
			return addr, errors.Annotate(lis.Close(), "release a free port")
		}
	}
	return "", errors.NotFoundf("free port")
}
