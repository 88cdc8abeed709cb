package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/briarturn/briarturn/internal/rawserver"
)

// Guards against resetting a server that answers first and reads the rest of a long body later.
func TestServerThatReadsBodyLateIsKept(t *testing.T) {
	const (
		bodySize  = 8 << 20
		readsFrom = 2 * unackedTimeout
		response  = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	)
	address := rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		time.Sleep(readsFrom)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, "whole")
	})
	r := get()
	r.Method, r.Body = http.MethodPost, make([]byte, bodySize)
	if body, err := do(t, NewPool(metrics.NewRegistry()), address, r); err != nil || body != "whole" {
		t.Errorf("body %q, error %v", body, err)
	}
}

// Guards against waiting for a server that has disappeared, and against ending the connection of one
// that answers each probe.
func TestSilentPeerIsTold(t *testing.T) {
	long, longest := uint32(unackedTimeout.Milliseconds()), uint32(unansweredProbeTimeout.Milliseconds())
	for _, c := range []struct {
		name string
		info unix.TCPInfo
		want bool
	}{
		{"probe not answered", unix.TCPInfo{Probes: 1, Last_ack_recv: longest}, true},
		{"one probe not answered, the next not due yet", unix.TCPInfo{Probes: 1, Last_ack_recv: long + 100}, false},
		{"probe and data not answered", unix.TCPInfo{Probes: 1, Unacked: 1, Retransmits: 2, Last_ack_recv: long}, true},
		{"data not acknowledged", unix.TCPInfo{Unacked: 1, Retransmits: 2, Last_ack_recv: long}, true},
		{"no room, each probe answered", unix.TCPInfo{Notsent_bytes: 1, Last_ack_recv: 2 * long}, false},
		{"probe on its way", unix.TCPInfo{Probes: 1, Last_ack_recv: long / 2}, false},
		{"data on its way", unix.TCPInfo{Unacked: 1, Last_ack_recv: 2 * long}, false},
	} {
		if got := isSilent(&c.info); got != c.want {
			t.Errorf("%s: silent %v", c.name, got)
		}
	}
}
