package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

// Limits of an admin connection. The write timeout exceeds the duration of a
// profile, which is streamed for up to 30 s by default.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 2 * time.Minute
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	maxRequestBytes   = 16 << 10
)

// Config selects the endpoints that a process provides. The endpoint of a nil
// field returns 404.
type Config struct {
	Status  StatusProvider
	Ready   ReadyProvider
	Drain   Drainer
	Parts   PartReleaser
	SLO     SLOProvider
	Metrics metrics.Registry
	Pprof   bool
}

// NewServer returns an HTTP server for the admin interface, with timeouts and
// size limits set.
func NewServer(c Config) *http.Server {
	return &http.Server{
		Handler:           NewHandler(c),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// NewHandler returns the HTTP handler of the admin interface.
func NewHandler(c Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, healthBody{OK: true})
	})
	if c.Ready != nil {
		mux.HandleFunc("GET /readyz", readyHandler(c.Ready))
	}
	if c.Status != nil {
		mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, c.Status.Status())
		})
	}
	if c.SLO != nil {
		mux.HandleFunc("GET /slo", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, c.SLO.Snapshot(time.Now()))
		})
	}
	if c.Drain != nil {
		mux.HandleFunc("POST /drain", drainHandler(c.Drain))
	}
	if c.Parts != nil {
		mux.HandleFunc("POST /parts/release", releaseHandler(c.Parts))
	}
	if c.Metrics != nil {
		mux.HandleFunc("GET /metrics", metricsHandler(c.Metrics))
	}
	if c.Pprof {
		handlePprof(mux)
	}
	return mux
}

// healthBody is the body of /healthz and /readyz.
type healthBody struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

func readyHandler(p ReadyProvider) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := p.Ready(); err != nil {
			writeJSON(w, http.StatusServiceUnavailable, healthBody{Reason: err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, healthBody{OK: true})
	}
}

func releaseHandler(p PartReleaser) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req PartRelease
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
			writeJSON(w, http.StatusBadRequest, errorBody{Error: "body is not a release of a part: " + err.Error()})
			return
		}
		err := p.ReleasePart(req)
		switch {
		case errors.Is(err, ErrUnknownName):
			writeJSON(w, http.StatusNotFound, errorBody{Error: err.Error()})
		case err != nil:
			writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		default:
			writeJSON(w, http.StatusOK, req)
		}
	}
}

func drainHandler(d Drainer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req DrainRequest
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req)
		if err != nil && !errors.Is(err, io.EOF) {
			writeJSON(w, http.StatusBadRequest, errorBody{Error: "body is not a drain request: " + err.Error()})
			return
		}
		state, err := d.Drain(r.Context(), req.Name)
		switch {
		case errors.Is(err, ErrUnknownName):
			writeJSON(w, http.StatusNotFound, errorBody{Error: err.Error()})
		case err != nil:
			writeJSON(w, http.StatusInternalServerError, errorBody{Error: err.Error()})
		default:
			writeJSON(w, http.StatusOK, state)
		}
	}
}

func handlePprof(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
