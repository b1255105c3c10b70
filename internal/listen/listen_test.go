package listen

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/juju/errors"
)

// failing fails as often as its list is long, then reports its end.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// TestAcceptSurvivesExhaustion guards against a process that ends because it
// has no file descriptor left for another connection.
func TestAcceptSurvivesExhaustion(t *testing.T) {
	f := &failing{errs: []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE}}
	if _, err := (&patient{Listener: f}).Accept(); !errors.Is(err, net.ErrClosed) || len(f.errs) != 0 {
		t.Fatalf("%v with %d errors left", err, len(f.errs))
	}
	f.errs = []error{syscall.EINVAL}
	if _, err := (&patient{Listener: f}).Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Fatalf("another error: %v", err)
	}
}
