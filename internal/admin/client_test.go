package admin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/rawserver"
)

// invalidStatuses are heads with a status that no final response has.
var invalidStatuses = []string{
	"HTTP/1.1 000 OK\r\n",
	"HTTP/1.1 999 OK\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n",
}

// invalidFields are heads with a line that is no field.
var invalidFields = []string{
	"HTTP/1.1 200 OK\r\nX Bad: 1\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	"HTTP/1.1 200 OK\r\nX-\x01Bad: 1\r\n",
	"HTTP/1.1 404 Not Found\r\nX Bad: 1\r\n",
}

// Guards against an invalid head taken for the state of a process.
func TestInvalidHeadIsAnError(t *testing.T) {
	for _, head := range slices.Concat(invalidStatuses, invalidFields) {
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
