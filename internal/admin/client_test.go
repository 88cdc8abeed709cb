package admin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/rawserver"
)

// Guards against an invalid head taken for the state of a process.
func TestInvalidHeadIsAnError(t *testing.T) {
	for _, head := range rawserver.InvalidHeads() {
		wantNoStatus(t, head+"\r\n{}")
	}
}

// wantNoStatus checks that a client takes what a process sends for no answer.
func wantNoStatus(t *testing.T, response string) {
	t.Helper()
	c := NewClient(rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(conn, response)
		}
	}))
	if s, err := c.Status(t.Context()); err == nil || errors.Is(err, ErrUnknownName) {
		t.Errorf("%q: status %+v, error %v", response, s, err)
	}
}
