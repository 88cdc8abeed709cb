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

// Symptom: one request among thousands gets no answer while entries are replaced.
// Sequence: a caller's HTTP client opens a connection to spare; its entry drains
// and is closed, and another starts on the same address; the client takes the
// spare connection for a request to it, and in that moment it is cut.
// Cause: closing went on behind the back of who had asked for it, and left
// connections without a request open for two seconds more.
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
