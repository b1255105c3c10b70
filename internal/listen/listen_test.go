package listen

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/juju/errors"
)

// failingListener returns the errors in errs one by one from Accept, and then
// net.ErrClosed.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// TestAcceptRetriesTransientErrors guards against a process that ends because it
// has no file descriptor for a new connection.
func TestAcceptRetriesTransientErrors(t *testing.T) {
	f := &failingListener{errs: []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE}}
	if _, err := (&retryingListener{Listener: f}).Accept(); !errors.Is(err, net.ErrClosed) || len(f.errs) != 0 {
		t.Fatalf("got %v with %d errors left, want net.ErrClosed with 0", err, len(f.errs))
	}
	f.errs = []error{syscall.EINVAL}
	if _, err := (&retryingListener{Listener: f}).Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Fatalf("permanent error: got %v, want EINVAL", err)
	}
}
