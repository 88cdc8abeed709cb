package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/quiet"
)

// Guards against leaving connections without a request open after their server was
// stopped: a caller's client would send its next request on one, and it would be cut.
func TestStopClosesSpareConnections(t *testing.T) {
	accepted := make(chan struct{}, 1)
	tasks := newTasks(quiet.Logger())
	address, err := tasks.serveHTTP("serve", "127.0.0.1:0", &http.Server{
		Handler: http.NotFoundHandler(),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				accepted <- struct{}{}
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-accepted
	tasks.stop()
	if err := conn.SetReadDeadline(time.Now().Add(closeTimeout / 2)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection outlived its server: %v", err)
	}
}
