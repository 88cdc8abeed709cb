//go:build review

package main

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// unnamedEra is the era of a store that names none.
const unnamedEra = -1

// drill is what a store knows of the drills in which it comes back from a copy of itself.
type drill struct {
	era    int
	away   bool
	copied storeCopy
}

// storeCopy is the state of a store at some time.
type storeCopy struct {
	revision uint64
	objects  map[string]map[string]object
	history  []change
}

func (s *store) copyLocked() storeCopy {
	c := storeCopy{revision: s.revision, objects: map[string]map[string]object{}, history: slices.Clone(s.history)}
	for kind, byName := range s.objects {
		c.objects[kind] = maps.Clone(byName)
	}
	return c
}

// copy keeps a copy of the store for the next drill.
func (s *store) copy(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drill.copied = s.copyLocked()
	reply(w, http.StatusOK, map[string]any{"at": s.revision})
}

// restore takes the store away for away_ms. It comes back from its copy, in the next era.
func (s *store) restore(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.Atoi(r.URL.Query().Get("away_ms"))
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "away_ms"})
		return
	}
	away := time.Duration(ms) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drill.away = true
	close(s.changed)
	s.changed = make(chan struct{})
	time.AfterFunc(away, s.comeBack)
	reply(w, http.StatusOK, map[string]any{"away_ms": ms})
}

func (s *store) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drill.away = false
	s.drill.era++
	s.revision, s.objects, s.history = s.drill.copied.revision, s.drill.copied.objects, s.drill.copied.history
	for name := range s.objects["servers"] {
		s.beats[name] = time.Now()
	}
}

// withEra names the era in all answers, and answers with 503 while the store is away.
func (s *store) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era, away := s.drill.era, s.drill.away
		s.mu.Unlock()
		if era != unnamedEra {
			w.Header().Set("Store-Era", strconv.Itoa(era))
		}
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
