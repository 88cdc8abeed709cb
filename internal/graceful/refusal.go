package graceful

import (
	"bytes"
	"io"
	"net/http"
)

// rendered returns what a handler writes as the last answer on a connection.
func rendered(write func(http.ResponseWriter)) []byte {
	w := &recorder{header: http.Header{}, status: http.StatusOK}
	write(w)
	answer := http.Response{
		StatusCode:    w.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        w.header,
		Body:          io.NopCloser(&w.body),
		ContentLength: int64(w.body.Len()),
		Close:         true,
	}
	var out bytes.Buffer
	_ = answer.Write(&out) // to memory
	return out.Bytes()
}

// recorder is an http.ResponseWriter to memory.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }
