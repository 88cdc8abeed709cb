package engine

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// pollFor bounds a long poll for cache events; pollEvery is its look-up period.
const (
	pollFor   = 10 * time.Second
	pollEvery = 50 * time.Millisecond
)

func (s *Server) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.handleRun(w, r, true) })
	m.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { s.handleRun(w, r, false) })
	m.HandleFunc("GET /v1/models", s.handleModels)
	m.HandleFunc("POST /v1/cancel", s.handleCancel)
	m.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	m.HandleFunc("GET /load", s.handleLoad)
	m.HandleFunc("GET /v1/cache_events", s.handleCacheEvents)
	m.HandleFunc("POST /v1/kv/prefill", s.handlePrefill)
	m.HandleFunc("GET /v1/kv/{handle}", s.handleSegment)
	m.HandleFunc("DELETE /v1/kv/{handle}", s.handleFree)
	m.HandleFunc("POST /v1/orders", s.handleOrder)
	m.HandleFunc("POST "+faultPath, s.handleFault)
	m.HandleFunc("GET /standin/counters", s.handleCounters)
	return m
}

// apiError is an error in the shape of the OpenAI API.
type apiError struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	} `json:"error"`
}

func writeError(w http.ResponseWriter, status int, code, text string) {
	var e apiError
	e.Error.Message = text
	e.Error.Type = "invalid_request_error"
	if status >= http.StatusInternalServerError {
		e.Error.Type = "server_error"
	}
	e.Error.Code = code
	writeJSON(w, status, e)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the peer is gone if this fails
}

func (s *Server) badRequest(w http.ResponseWriter, text string) {
	s.countBadInput()
	writeError(w, http.StatusBadRequest, "bad_request", text)
}

func (s *Server) countBadInput() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.BadInput++
}

func (s *Server) handleCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counters())
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
	Role   string       `json:"role"`
}

type modelEntry struct {
	Object  string `json:"object"`
	ID      string `json:"id"`
	Parent  string `json:"parent,omitempty"`
	Version string `json:"version,omitempty"`
}

func (s *Server) handleModels(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.modelList())
}

func (s *Server) modelList() modelList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := modelList{Object: "list", Data: []modelEntry{}, Role: s.role}
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		m := s.models[name]
		list.Data = append(list.Data, modelEntry{Object: "model", ID: name, Parent: m.Parent, Version: m.Version})
	}
	return list
}

func (s *Server) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.models[model]
	return ok
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<12)).Decode(&body); err != nil {
		s.badRequest(w, err.Error())
		return
	}
	s.mu.Lock()
	q := s.byID[body.RequestID]
	s.mu.Unlock()
	if q != nil {
		s.cancel(q)
	}
	writeJSON(w, http.StatusOK, struct {
		Cancelled bool `json:"cancelled"`
	}{q != nil})
}

type cacheEvents struct {
	Events []cacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		s.badRequest(w, "after must be a number")
		return
	}
	deadline := time.After(pollFor)
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		out := cacheEvents{Next: after}
		s.mu.Lock()
		out.Events = s.cache.after(after, time.Now())
		died := s.died
		s.mu.Unlock()
		if n := len(out.Events); n > 0 {
			out.Next = out.Events[n-1].Seq
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-tick.C:
		case <-deadline:
			writeJSON(w, http.StatusOK, out)
			return
		case <-died:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
