package responsehead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/rawserver"
)

// startServer starts a server that responds to each request on a connection, and returns its URL. ended
// receives a value for each connection that its client closed.
func startServer(t *testing.T, response string) (url string, ended <-chan struct{}) {
	t.Helper()
	closed := make(chan struct{}, 10)
	return "http://" + rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				closed <- struct{}{}
				return
			}
			_, _ = io.WriteString(conn, response)
		}
	}), closed
}

func newClient(t *testing.T) *http.Client {
	t.Helper()
	c := &http.Client{Transport: Transport{Base: &http.Transport{}}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// Guards against a connection that stays open behind an invalid head.
func TestConnectionOfInvalidHeadIsClosed(t *testing.T) {
	url, ended := startServer(t, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
	if r, err := newClient(t).Get(url); !errors.Is(err, ErrInvalid) {
		t.Errorf("response %v, error %v", r, err)
	}
	<-ended
}

// Guards against idle connections that outlive their closed client.
func TestIdleConnectionsAreClosed(t *testing.T) {
	url, ended := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	c := newClient(t)
	r, err := c.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	c.CloseIdleConnections()
	<-ended
}
