// Package rawserver gives tests a TCP server whose connections they serve by hand.
package rawserver

import (
	"bufio"
	"net"
	"testing"
)

// Start serves each connection with handle, in a goroutine of its own, until the
// test ends. It returns the address. The connection is closed after handle.
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
				return // the test has ended
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return lis.Addr().String()
}
