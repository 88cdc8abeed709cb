package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// service forwards a call to a plain service.
func (e *Entry) service(w http.ResponseWriter, r *http.Request, arrived time.Time) {
	c, f := e.readService(w, r, arrived)
	if f != nil {
		e.refuse(w, f)
		return
	}
	w.Header().Set(headerRequestID, c.spec.ID)
	out := &serviceSink{writer: newWriter(w, e.limits.WriteTimeout), c: c}
	c.sink = out
	c.execute(r.Context())
	if out.aborted {
		// The response must not look complete. This panic makes net/http abort
		// the caller's connection.
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) readService(w http.ResponseWriter, r *http.Request, arrived time.Time) (*call, *request.Failure) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicesPrefix), "/")
	if len(name) > maxNameBytes || !e.cfg.Catalog.Service(name) {
		return nil, e.unknownName(http.StatusNotFound, reasonUnknownService,
			fmt.Sprintf("there is no service %q", truncate(name)))
	}
	spec, f := e.readSpec(r, request.KindService, arrived)
	if f != nil {
		return nil, f
	}
	if spec.Body, f = e.readBody(w, r); f != nil {
		return nil, f
	}
	spec.Service = name
	spec.Method = r.Method
	spec.Path = strings.TrimPrefix(r.URL.RequestURI(), servicesPrefix+name)
	if !strings.HasPrefix(spec.Path, "/") {
		spec.Path = "/" + spec.Path
	}
	spec.Headers = forwardedHeaders(r.Header)
	spec.Idempotent = spec.Idempotent && idempotentByDefault(r)
	spec.PromptTokens = estimateTokens(len(spec.Body))
	spec.Fingerprint = serviceFingerprint(spec)
	return e.newCall(spec, nil, Pool{Name: name}), nil
}

// idempotentByDefault reports whether a call without a true X-Non-Idempotent
// header may be retried: POST and PATCH calls may not, as HTTP defines these
// methods, unless the caller sets the header to false.
func idempotentByDefault(r *http.Request) bool {
	switch r.Method {
	case http.MethodPost, http.MethodPatch:
		return strings.EqualFold(r.Header.Get(headerNonIdempotent), "false")
	}
	return true
}

func serviceFingerprint(s *request.Spec) uint64 {
	d := xxhash.New()
	writeField(d, s.Service)
	writeField(d, s.Method)
	writeField(d, s.Path)
	_, _ = d.Write(s.Body)
	return d.Sum64()
}

// droppedHeaders are the hop-by-hop headers and the headers that the entry
// interprets itself. They aren't forwarded.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Accept-Encoding": true, "Expect": true, headerTimeout: true, headerNonIdempotent: true,
	headerFirstSend: true, headerServiceClass: true,
}

func forwardedHeaders(h http.Header) map[string]string {
	out := make(map[string]string, len(h))
	for name, values := range h {
		if !droppedHeaders[name] {
			out[name] = strings.Join(values, ", ")
		}
	}
	return out
}

// serviceSink forwards a plain service's response to the caller.
type serviceSink struct {
	writer
	c            *call
	status       int
	recordedBody bytes.Buffer // start of the body, for the claim's record; bounded
	aborted      bool
}

func (s *serviceSink) head(h *wirepb.Head) error {
	s.status = int(h.GetStatus())
	if s.status < 200 || s.status > 599 {
		return errBadChunk
	}
	for _, kv := range h.GetHeaders() {
		if name := http.CanonicalHeaderKey(kv.GetName()); !droppedHeaders[name] {
			s.w.Header().Set(name, kv.GetValue())
		}
	}
	return nil
}

func (s *serviceSink) chunk(data []byte) error {
	s.writeHeader()
	if s.recordedBody.Len() <= maxRecordedAnswer {
		s.recordedBody.Write(data)
	}
	if err := s.write(data); err != nil {
		return err
	}
	return s.flush()
}

func (s *serviceSink) writeHeader() {
	if s.bodyStarted {
		return
	}
	s.bodyStarted = true
	if s.status == 0 {
		s.status = http.StatusOK
	}
	s.w.WriteHeader(s.status)
}

func (s *serviceSink) finish(*wirepb.End) error {
	s.writeHeader()
	return nil
}

func (s *serviceSink) fail(f *request.Failure) {
	if s.bodyStarted {
		s.aborted = true
		return
	}
	// A head that was received before the failure doesn't belong to this
	// response.
	clear(s.w.Header())
	s.w.Header().Set(headerRequestID, s.c.spec.ID)
	writeFailure(s.w, f, s.c.spec.ID)
}

func (s *serviceSink) record() recordedAnswer {
	return recordedAnswer{status: s.status, contentType: s.w.Header().Get("Content-Type"), body: s.recordedBody.Bytes()}
}

func (s *serviceSink) replay(a recordedAnswer) error {
	s.w.Header().Set("Content-Type", a.contentType)
	s.status = a.status
	s.writeHeader()
	return s.write(a.body)
}

func (s *serviceSink) prior() []byte { return nil }

// resumable returns false: a service can't continue a broken response from a
// chunk number.
func (s *serviceSink) resumable() bool { return false }

var (
	_ sink = (*serviceSink)(nil)
	_ sink = (*bufferedSink)(nil)
	_ sink = (*streamSink)(nil)
)
