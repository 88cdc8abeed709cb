// Package rawserver provides a TCP server for tests that read and write raw connections.
package rawserver

import (
	"bufio"
	"net"
	"testing"
)

// Start starts a server on a free local port and returns its address. Until the test
// ends, it calls handle for each connection in a separate goroutine, and closes the
// connection when handle returns.
func Start(t testing.TB, handle func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return // the listener is closed at the end of the test
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return lis.Addr().String()
}
