package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against the error of a broken call that does not distinguish a pooled
// connection, which the server may have closed at that moment, from a new one.
func TestBrokenCallErrorDescribesConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a read error ends the call as well
		if calls++; calls == 2 {
			panic(http.ErrAbortHandler)
		}
	})}
	go func() { _ = srv.Serve(lis) }()
	defer srv.Close()
	c := New(Config{Address: lis.Addr().String()})
	defer c.Close()
	call := func() error {
		resp, err := c.Service(context.Background(), &ServiceRequest{
			Method: http.MethodPost, Path: "/call", Header: http.Header{}, Body: strings.NewReader("{}"), ContentLength: 2,
		})
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		return resp.Body.Close()
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	err = call()
	if err == nil || !strings.Contains(err.Error(), "connection used before true, idle for ") {
		t.Errorf("unexpected error: %v", err)
	}
}
