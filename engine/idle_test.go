package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a broken call whose line doesn't tell a connection that was taken from
// the pool, and may have been closed in that moment, from a new one.
func TestBrokenCallTellsOfItsConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // an error ends the call too
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
		t.Errorf("the error says %v", err)
	}
}
