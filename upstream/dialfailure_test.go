package upstream

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

func dialError(err error) error {
	return errors.WithType(errors.Annotate(&net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}, "step connect"), ErrNotSent)
}

// Guards against a cut link, or a lack of ports on this VM, that counts as a server that is down.
func TestDialFailuresAreToldApart(t *testing.T) {
	for _, c := range []struct {
		err  error
		want DialFailure
	}{
		{dialError(syscall.ECONNREFUSED), DialRefused},
		{dialError(syscall.EHOSTUNREACH), DialSilent},
		{dialError(syscall.ENETUNREACH), DialSilent},
		{dialError(syscall.ETIMEDOUT), DialSilent},
		{dialError(os.ErrDeadlineExceeded), DialSilent},
		{dialError(syscall.EADDRNOTAVAIL), DialNone},
		{dialError(syscall.EMFILE), DialNone},
		{&net.OpError{Op: "read", Err: syscall.ECONNREFUSED}, DialNone},
		{ErrBroken, DialNone},
		{nil, DialNone},
	} {
		if got := DialFailureOf(c.err); got != c.want {
			t.Errorf("%v: %v, want %v", c.err, got, c.want)
		}
	}
}

// Guards against errors of the pool that no longer show why an attempt to connect failed.
func TestPoolErrorShowsRefusal(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = NewPool(metrics.NewRegistry()).Do(t.Context(), address, &Request{Method: "GET", Target: "/"})
	if got := DialFailureOf(err); got != DialRefused {
		t.Errorf("%v: %v", err, got)
	}
}
