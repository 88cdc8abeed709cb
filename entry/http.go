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

// Headers of the callers' API.
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
	// maxTokensRoom is the room left in a body's buffer for withMaxTokens.
	maxTokensRoom = 64
)

// Handler returns the callers' HTTP API.
func (e *Entry) Handler() http.Handler { return http.HandlerFunc(e.serveHTTP) }

// serveHTTP bounds the time to read a request's body.
//
// Without this deadline a caller that sends a byte a minute would keep its
// goroutine and buffer for ever, also where the answer is a refusal that needs
// no body: the server reads the rest of a body before it sends the response.
// readBody clears it once the body is there, since the server's own read in the
// background is what notices that the caller has gone.
func (e *Entry) serveHTTP(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(e.limits.ReadTimeout))
	e.mux.ServeHTTP(w, r)
}

// Server returns an http.Server for the callers' listener with the entry's
// limits on headers and time. It sets no WriteTimeout: a stream may last as long
// as its request's time limit, and each write has a deadline of its own.
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
	mux.HandleFunc("POST /v1/chat/completions", e.counted(e.chat))
	mux.HandleFunc("POST /v1/completions", e.counted(e.completion))
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("POST /v1/idempotency-keys", e.issueKey)
	mux.HandleFunc(servicesPrefix, e.counted(e.service))
	mux.HandleFunc("/", e.unknownPath)
	return mux
}

// counted wraps the handler of a request that takes part in drain and metrics.
func (e *Entry) counted(h func(http.ResponseWriter, *http.Request, time.Time)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrived := time.Now()
		e.meters.received.Inc(1)
		leave, f := e.enter()
		if f != nil {
			// The caller must not keep a connection for its next request:
			// one sent while the process ends would be lost.
			w.Header().Set("Connection", "close")
			e.refuse(w, f)
			return
		}
		defer leave()
		h(w, r, arrived)
		e.meters.total.UpdateSince(arrived)
	}
}

// refuse answers a request that never became a call.
func (e *Entry) refuse(w http.ResponseWriter, f *request.Failure) {
	e.meters.failure(f)
	writeFailure(w, f, "")
}

func (e *Entry) chat(w http.ResponseWriter, r *http.Request, arrived time.Time) {
	e.generate(w, r, request.KindChat, arrived)
}

func (e *Entry) completion(w http.ResponseWriter, r *http.Request, arrived time.Time) {
	e.generate(w, r, request.KindCompletion, arrived)
}

// generate serves one request to a model.
func (e *Entry) generate(w http.ResponseWriter, r *http.Request, kind request.Kind, arrived time.Time) {
	c, f := e.readGenerate(w, r, kind, arrived)
	if f != nil {
		e.refuse(w, f)
		return
	}
	w.Header().Set(headerRequestID, c.spec.ID)
	if c.spec.Stream {
		c.out = newStreamSink(w, c, e.limits.WriteTimeout)
	} else {
		c.out = newWholeSink(w, c, e.limits.WriteTimeout)
	}
	c.live(r.Context())
}

func (e *Entry) readGenerate(w http.ResponseWriter, r *http.Request, kind request.Kind, arrived time.Time) (*call, *request.Failure) {
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
		return nil, notRun(http.StatusNotFound, reasonUnknownModel, "read",
			fmt.Sprintf("there is no model or pool %q", clip(body.Model)), 0)
	}
	if f := e.fill(spec, body, pool); f != nil {
		return nil, f
	}
	return e.newCall(spec, body, pool), nil
}

// fill sets what the spec takes from the parsed body.
func (e *Entry) fill(spec *request.Spec, body *chatBody, pool Pool) *request.Failure {
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
	spec.PrefixHashes = body.prefix()
	spec.Body = withMaxTokens(spec.Body, spec.MaxTokens)
	return nil
}

// readSpec reads what the headers say.
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
	marked, f := readFlag(r, headerNonIdempotent)
	if f != nil {
		return nil, f
	}
	first, f := readFlag(r, headerFirstSend)
	if f != nil {
		return nil, f
	}
	return &request.Spec{
		ID:             e.nextID(),
		Kind:           kind,
		Workspace:      name,
		Priority:       class.Priority,
		IdempotencyKey: key,
		Idempotent:     !marked,
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
	return "", Workspace{}, notRun(http.StatusForbidden, reasonUnknownWorkspace, "read",
		fmt.Sprintf("workspace %q is not known", clip(name)), 0)
}

// readClass finds the service class that a request names; without one it is
// the soonest. An unknown one is refused: its caller counts on its time limit.
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
	return ServiceClass{}, badRequest(reasonBadRequest, fmt.Sprintf("the workspace has no service class %q", clip(name)))
}

// readFlag reads a header that is true or false. Another value is refused:
// taking the non-idempotent mark for false could run a booking twice.
func readFlag(r *http.Request, header string) (bool, *request.Failure) {
	switch strings.ToLower(r.Header.Get(header)) {
	case "", "false", "0":
		return false, nil
	case "true", "1":
		return true, nil
	}
	return false, badRequest(reasonBadRequest, header+" must be true or false")
}

// readTimeout returns the request's time limit: the caller's, else its class's,
// its workspace's or the entry's.
func (e *Entry) readTimeout(r *http.Request, workspace Workspace, class ServiceClass) (time.Duration, *request.Failure) {
	most := min(e.limits.MaxTimeout, cmp.Or(workspace.MaxTimeout, e.limits.MaxTimeout))
	v := r.Header.Get(headerTimeout)
	if v == "" {
		return min(most, cmp.Or(class.Timeout, workspace.DefaultTimeout, e.limits.DefaultTimeout)), nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 1 || ms > most.Milliseconds() {
		return 0, badRequest(reasonBadRequest, fmt.Sprintf("%s must be a number of milliseconds from 1 to %d",
			headerTimeout, most.Milliseconds()))
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

// readAll reads into one buffer of the announced size, so that a prompt of
// megabytes isn't copied while the buffer grows.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size <= 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, size, size+maxTokensRoom)
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

// issueKey answers POST /v1/idempotency-keys: a key for one non-idempotent call.
// Claims of it need no store while this entry lives, so that confirmations go
// through an outage of the platform.
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
		fmt.Sprintf("there is no %s %s", r.Method, clip(r.URL.Path)), 0)
	e.refuse(w, f)
}

var requestCount atomic.Uint64

// nextID names a request uniquely: the incarnation differs after a restart.
func (e *Entry) nextID() string {
	return e.cfg.Name + "-" + strconv.FormatUint(e.cfg.Incarnation, 36) +
		"-" + strconv.FormatUint(requestCount.Add(1), 36)
}

// clip bounds what of a caller's text is repeated in a message.
func clip(s string) string {
	const most = 100
	if len(s) <= most {
		return s
	}
	return strings.ToValidUTF8(s[:most], "") + "..."
}
