package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// orderBody is the body of POST /v1/orders.
type orderBody struct {
	Action  string `json:"action"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Lease   string `json:"lease"`
	Fence   uint64 `json:"fence"`
}

// name is what the order loads or unloads; an adapter is served under its own name.
func (o *orderBody) name() string {
	if o.Adapter != "" {
		return o.Adapter
	}
	return o.Model
}

func (o *orderBody) weights() Weights {
	w := Weights{Name: o.name(), Version: o.Version}
	if o.Adapter != "" {
		w.Parent = o.Model
	}
	return w
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<14)).Decode(&o); err != nil {
		s.badRequest(w, err.Error())
		return
	}
	if !s.acceptFence(&o) {
		writeError(w, http.StatusConflict, "stale_fence", "a higher fencing number was seen for lease "+o.Lease)
		return
	}
	switch o.Action {
	case "load":
		if !s.loadModel(r, o.weights()) {
			return
		}
	case "unload":
		s.unloadModel(o.name())
	case "role":
		s.setRole(o.Role)
	default:
		s.badRequest(w, "unknown action "+o.Action)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Done bool `json:"done"`
	}{true})
}

// acceptFence keeps the highest fencing number of each lease. An engine that
// does not check accepts all.
func (s *Server) acceptFence(o *orderBody) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFencing && o.Fence < s.fences[o.Lease] {
		s.counters.StaleFence++
		return false
	}
	s.fences[o.Lease] = max(s.fences[o.Lease], o.Fence)
	return true
}

// loadModel serves a model after ModelLoadTime, unless the caller goes away or
// the engine dies meanwhile.
func (s *Server) loadModel(r *http.Request, weights Weights) bool {
	s.mu.Lock()
	died := s.died
	s.mu.Unlock()
	if s.cfg.ModelLoadTime > 0 {
		select {
		case <-time.After(s.cfg.ModelLoadTime):
		case <-r.Context().Done():
			return false
		case <-died:
			panic(http.ErrAbortHandler)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.models[weights.Name] = weights
	return true
}

func (s *Server) unloadModel(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.models, name)
}

func (s *Server) setRole(role string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role = role
}

// Role returns the role that the last order set, mixed at first.
func (s *Server) Role() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role
}
