package entry

import (
	"cmp"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/briarturn/briarturn/request"
)

// Headers of the HTTP API for callers.
const (
	headerKey           = "Idempotency-Key"
	headerTimeout       = "X-Request-Timeout-Ms"
	headerWorkspace     = "X-Workspace"
	headerServiceClass  = "X-Service-Class"
	headerNonIdempotent = "X-Non-Idempotent"
	headerFirstSend     = "X-First-Send"
	headerRequestID     = "X-Request-Id"
)

const (
	defaultWorkspace = "default"
	maxNameBytes     = 128
	maxKeyBytes      = 256
	servicesPrefix   = "/services/"
	// maxTokensSuffixBytes is the spare capacity in a body's buffer for the bytes
	// that withMaxTokens appends.
	maxTokensSuffixBytes = 64
)

// Handler returns the handler of the HTTP API for callers.
func (e *Entry) Handler() http.Handler { return http.HandlerFunc(e.serveHTTP) }

// serveHTTP limits the time to read a request's body.
//
// Without this deadline a caller that sends one byte per minute would occupy
// its goroutine and buffer indefinitely, even if the request is refused
// without reading its body, since net/http reads the rest of the body before
// it sends the response. readBody clears the deadline after the body, since
// the background read of net/http detects a disconnect of the caller.
func (e *Entry) serveHTTP(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(e.limits.ReadTimeout))
	e.mux.ServeHTTP(w, r)
}

// Server returns an http.Server for the callers' listener with the entry's
// header size and time limits. It sets no WriteTimeout: a stream may last
// until its request's time limit, and each write has its own deadline.
func (e *Entry) Server() *http.Server {
	return &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: e.limits.HeaderTimeout,
		IdleTimeout:       e.limits.IdleTimeout,
		MaxHeaderBytes:    e.limits.MaxHeaderBytes,
	}
}

func (e *Entry) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.tracked(e.chat))
	mux.HandleFunc("POST /v1/completions", e.tracked(e.completion))
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("POST /v1/idempotency-keys", e.issueKey)
	mux.HandleFunc(servicesPrefix, e.tracked(e.service))
	mux.HandleFunc("/", e.unknownPath)
	return mux
}

// tracked wraps a handler so that its requests are counted in the metrics and
// Drain waits for them.
func (e *Entry) tracked(h func(http.ResponseWriter, *http.Request, time.Time)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrived := time.Now()
		e.metrics.received.Inc(1)
		leave, f := e.beginRequest()
		if f != nil {
			// The caller must not reuse the connection: a request that it
			// sends while the process exits would be lost.
			w.Header().Set("Connection", "close")
			e.refuse(w, f)
			return
		}
		defer leave()
		h(w, r, arrived)
		e.metrics.total.UpdateSince(arrived)
	}
}

// refuse counts and reports the failure of a request for which no call was
// created.
func (e *Entry) refuse(w http.ResponseWriter, f *request.Failure) {
	e.metrics.countFailure(f)
	writeFailure(w, f, "")
}

func (e *Entry) chat(w http.ResponseWriter, r *http.Request, arrived time.Time) {
	e.generate(w, r, request.KindChat, arrived)
}

func (e *Entry) completion(w http.ResponseWriter, r *http.Request, arrived time.Time) {
	e.generate(w, r, request.KindCompletion, arrived)
}

// generate serves one chat or completion request.
func (e *Entry) generate(w http.ResponseWriter, r *http.Request, kind request.Kind, arrived time.Time) {
	c, f := e.readGenerateRequest(w, r, kind, arrived)
	if f != nil {
		e.refuse(w, f)
		return
	}
	w.Header().Set(headerRequestID, c.spec.ID)
	if c.spec.Stream {
		c.sink = newStreamSink(w, c, e.limits.WriteTimeout)
	} else {
		c.sink = newBufferedSink(w, c, e.limits.WriteTimeout)
	}
	c.execute(r.Context())
}

func (e *Entry) readGenerateRequest(w http.ResponseWriter, r *http.Request, kind request.Kind, arrived time.Time) (*call, *request.Failure) {
	spec, f := e.readSpec(r, kind, arrived)
	if f != nil {
		return nil, f
	}
	if spec.Body, f = e.readBody(w, r); f != nil {
		return nil, f
	}
	body, f := parseBody(kind, spec.Body)
	if f != nil {
		return nil, f
	}
	pool, ok := e.cfg.Catalog.Pool(body.Model)
	if !ok {
		return nil, e.unknownName(http.StatusNotFound, reasonUnknownModel,
			fmt.Sprintf("there is no model or pool %q", truncate(body.Model)))
	}
	if f := e.fillSpec(spec, body, pool); f != nil {
		return nil, f
	}
	return e.newCall(spec, body, pool), nil
}

// fillSpec sets the fields of spec that come from the parsed body and the pool.
func (e *Entry) fillSpec(spec *request.Spec, body *requestBody, pool Pool) *request.Failure {
	limit := e.limits.MaxTokens
	if pool.MaxTokens > 0 {
		limit = min(limit, pool.MaxTokens)
	}
	var f *request.Failure
	if spec.MaxTokens, f = body.maxTokens(e.limits.DefaultMaxTokens, limit); f != nil {
		return f
	}
	spec.PromptTokens = body.promptTokens()
	longest := e.limits.MaxPromptTokens
	if pool.MaxContextTokens > 0 {
		longest = min(longest, pool.MaxContextTokens-spec.MaxTokens)
	}
	if spec.PromptTokens > longest {
		return notRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "read",
			fmt.Sprintf("the prompt is about %d tokens, the limit is %d", spec.PromptTokens, longest), 0)
	}
	spec.Model, spec.Adapter = pool.resolve(body.Model)
	if body.Adapter != "" {
		spec.Adapter = body.Adapter
	}
	spec.Stream = body.Stream
	spec.Fingerprint = body.fingerprint()
	spec.PrefixHashes = body.prefixHashes()
	spec.Body = withMaxTokens(spec.Body, spec.MaxTokens)
	return nil
}

// readSpec creates a spec from the request headers.
func (e *Entry) readSpec(r *http.Request, kind request.Kind, arrived time.Time) (*request.Spec, *request.Failure) {
	name, workspace, f := e.readWorkspace(r)
	if f != nil {
		return nil, f
	}
	class, f := readClass(r, workspace)
	if f != nil {
		return nil, f
	}
	timeout, f := e.readTimeout(r, workspace, class)
	if f != nil {
		return nil, f
	}
	key := r.Header.Get(headerKey)
	if len(key) > maxKeyBytes {
		return nil, badRequest(reasonBadRequest, fmt.Sprintf("%s is longer than %d bytes", headerKey, maxKeyBytes))
	}
	nonIdempotent, f := readBoolHeader(r, headerNonIdempotent)
	if f != nil {
		return nil, f
	}
	first, f := readBoolHeader(r, headerFirstSend)
	if f != nil {
		return nil, f
	}
	return &request.Spec{
		ID:             e.nextID(),
		Kind:           kind,
		Workspace:      name,
		Priority:       class.Priority,
		IdempotencyKey: key,
		Idempotent:     !nonIdempotent,
		FirstSend:      first,
		Arrived:        arrived,
		Deadline:       arrived.Add(timeout),
	}, nil
}

func (e *Entry) readWorkspace(r *http.Request) (string, Workspace, *request.Failure) {
	name := r.Header.Get(headerWorkspace)
	if name == "" {
		name = defaultWorkspace
	}
	if len(name) <= maxNameBytes {
		if workspace, ok := e.cfg.Catalog.Workspace(name); ok {
			return name, workspace, nil
		}
	}
	return "", Workspace{}, e.unknownName(http.StatusForbidden, reasonUnknownWorkspace,
		fmt.Sprintf("workspace %q is not known", truncate(name)))
}

// readClass returns the service class that a request names. Without one it
// returns the zero class, whose requests start first. An unknown class is
// refused, since the caller relies on the time limit of its class.
func readClass(r *http.Request, workspace Workspace) (ServiceClass, *request.Failure) {
	name := r.Header.Get(headerServiceClass)
	if name == "" {
		return ServiceClass{}, nil
	}
	for _, class := range workspace.Classes {
		if class.Name == name {
			return class, nil
		}
	}
	return ServiceClass{}, badRequest(reasonBadRequest, fmt.Sprintf("the workspace has no service class %q", truncate(name)))
}

// readBoolHeader parses a boolean header. Other values are refused: if an invalid
// X-Non-Idempotent counted as false, a booking could run twice.
func readBoolHeader(r *http.Request, header string) (bool, *request.Failure) {
	switch strings.ToLower(r.Header.Get(header)) {
	case "", "false", "0":
		return false, nil
	case "true", "1":
		return true, nil
	}
	return false, badRequest(reasonBadRequest, header+" must be true or false")
}

// readTimeout returns the request's time limit: the caller's if set, otherwise
// the default of its class, its workspace or the entry, in this order.
func (e *Entry) readTimeout(r *http.Request, workspace Workspace, class ServiceClass) (time.Duration, *request.Failure) {
	maxTimeout := min(e.limits.MaxTimeout, cmp.Or(workspace.MaxTimeout, e.limits.MaxTimeout))
	v := r.Header.Get(headerTimeout)
	if v == "" {
		return min(maxTimeout, cmp.Or(class.Timeout, workspace.DefaultTimeout, e.limits.DefaultTimeout)), nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, badRequest(reasonBadRequest, fmt.Sprintf("%s must be a number of milliseconds from 1 to %d",
			headerTimeout, maxTimeout.Milliseconds()))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readBody reads the whole body within the read timeout.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *request.Failure) {
	if r.ContentLength > e.limits.MaxBodyBytes {
		return nil, e.bodyTooLarge()
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, e.limits.MaxBodyBytes), r.ContentLength)
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return body, nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case stderrors.As(err, &tooLarge):
		return nil, e.bodyTooLarge()
	case stderrors.Is(err, os.ErrDeadlineExceeded):
		return nil, notRun(http.StatusRequestTimeout, reasonSlowBody, "read", "the body did not arrive in time", 0)
	}
	return nil, badRequest(reasonBadRequest, "the body could not be read: "+err.Error())
}

// readAll reads into a single buffer of the declared size, so that a prompt of
// several megabytes isn't copied while the buffer grows.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size <= 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, size, size+maxTokensSuffixBytes)
	_, err := io.ReadFull(r, body)
	return body, err
}

func (e *Entry) bodyTooLarge() *request.Failure {
	return notRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "read",
		fmt.Sprintf("the body is larger than %d bytes", e.limits.MaxBodyBytes), 0)
}

// models answers GET /v1/models.
func (e *Entry) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, p := range e.cfg.Catalog.Pools() {
		list.Data = append(list.Data, model{ID: p.Name, Object: "model", OwnedBy: p.Name})
		for _, m := range p.Models {
			if m != p.Name {
				list.Data = append(list.Data, model{ID: m, Object: "model", OwnedBy: p.Name})
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// issueKey answers POST /v1/idempotency-keys with a key for one non-idempotent
// call. Claims of this key need no store while this entry runs, so that
// confirmations succeed during an outage of the platform.
func (e *Entry) issueKey(w http.ResponseWriter, r *http.Request) {
	if e.cfg.Claimer == nil || !e.Ready() {
		e.refuse(w, notRun(http.StatusServiceUnavailable, reasonClaimUnavailable, "issue key",
			"this entry issues no keys", retryElsewhere))
		return
	}
	workspace, _, f := e.readWorkspace(r)
	if f != nil {
		e.refuse(w, f)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(marshal(map[string]string{"object": "idempotency_key", "key": e.cfg.Claimer.Issue(workspace)}))
}

func (e *Entry) unknownPath(w http.ResponseWriter, r *http.Request) {
	f := notRun(http.StatusNotFound, reasonUnknownPath, "read",
		fmt.Sprintf("there is no %s %s", r.Method, truncate(r.URL.Path)), 0)
	e.refuse(w, f)
}

var requestCount atomic.Uint64

// nextID returns a unique request ID. The incarnation keeps IDs unique over
// restarts.
func (e *Entry) nextID() string {
	return e.cfg.Name + "-" + strconv.FormatUint(e.cfg.Incarnation, 36) +
		"-" + strconv.FormatUint(requestCount.Add(1), 36)
}

// truncate limits the length of caller-provided text in a message.
func truncate(s string) string {
	const maxBytes = 100
	if len(s) <= maxBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxBytes], "") + "..."
}
