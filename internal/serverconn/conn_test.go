package serverconn

import (
	"bufio"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/rawserver"
)

const (
	// uploadBytes is more than the socket buffers hold.
	uploadBytes = 8 << 20
	rounds      = 20
	arrivalTime = 10 * time.Millisecond
)

// readDuringUpload writes to a server that reads nothing before it sends a part and calls end, and
// returns what is read of it and the error that ends it.
func readDuringUpload(t *testing.T, end func(conn *net.TCPConn, in io.Reader)) (string, error) {
	t.Helper()
	address := rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		time.Sleep(arrivalTime)
		_, _ = io.WriteString(conn, "part")
		time.Sleep(arrivalTime)
		end(conn.(*net.TCPConn), in)
	})
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c := New(raw)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write(make([]byte, uploadBytes))
	}()
	got, err := io.ReadAll(c)
	_ = c.Close()
	<-written
	return string(got), err
}

// Guards against a connection that was reset during a write, taken for one that ended.
func TestResetDuringWriteIsAnError(t *testing.T) {
	for range rounds {
		got, err := readDuringUpload(t, func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) })
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %q, error %v", got, err)
		}
	}
}

// Guards against an error in place of the regular end that comes during a write.
func TestEndDuringWriteIsAnEnd(t *testing.T) {
	for name, next := range map[string]func(*net.TCPConn, io.Reader){
		"reads on":      func(_ *net.TCPConn, in io.Reader) { _, _ = io.Copy(io.Discard, in) },
		"reads nothing": func(*net.TCPConn, io.Reader) {},
		"resets":        func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) },
		"resets later": func(conn *net.TCPConn, _ io.Reader) {
			time.Sleep(arrivalTime)
			_ = conn.SetLinger(0)
		},
	} {
		for range rounds {
			got, err := readDuringUpload(t, func(conn *net.TCPConn, in io.Reader) {
				_ = conn.CloseWrite()
				next(conn, in)
			})
			if got != "part" || err != nil {
				t.Errorf("%s: read %q, error %v", name, got, err)
			}
		}
	}
}

// errConn is a connection whose reads end regularly and whose writes fail.
type errConn struct {
	net.Conn
	err error
}

func (errConn) Read([]byte) (int, error)            { return 0, io.EOF }
func (c errConn) Write([]byte) (int, error)         { return 0, c.err }
func (errConn) SetWriteDeadline(_ time.Time) error  { return nil }
func opError(op string, number syscall.Errno) error { return &net.OpError{Op: op, Err: number} }

// Guards against other errors of a connection that only a write learns of, taken for its end.
func TestErrorOfWriteIsReturnedByRead(t *testing.T) {
	for _, c := range []struct {
		err  error
		want error
	}{
		{opError("write", syscall.ECONNRESET), syscall.ECONNRESET},
		{opError("write", syscall.ETIMEDOUT), syscall.ETIMEDOUT},
		{opError("write", syscall.EHOSTUNREACH), syscall.EHOSTUNREACH},
		{opError("write", syscall.ENETUNREACH), syscall.ENETUNREACH},
		{opError("write", syscall.EPIPE), io.EOF},
		{&net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}, io.EOF},
		{&net.OpError{Op: "write", Err: net.ErrClosed}, io.EOF},
		{nil, io.EOF},
	} {
		conn := New(errConn{err: c.err})
		_, _ = conn.Write([]byte("x"))
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
			t.Errorf("write %v: read %v, want %v", c.err, err, c.want)
		}
	}
}
