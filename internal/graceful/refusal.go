package graceful

import (
	"bytes"
	"io"
	"net/http"
)

// renderResponse returns the encoded response that write produces, with Connection: close.
func renderResponse(write func(http.ResponseWriter)) []byte {
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
	_ = answer.Write(&out) // writing to memory doesn't fail
	return out.Bytes()
}

// recorder is an http.ResponseWriter that keeps the response in memory.
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
