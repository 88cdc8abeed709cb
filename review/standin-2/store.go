//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"
)

// heartbeatLapse is how long an entry of kind servers lasts without a heartbeat: three
// intervals of 1,200 ms.
const heartbeatLapse = 3600 * time.Millisecond

// pageItems is the number of objects of one page of a list.
const pageItems = 500

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

type change struct {
	kind     string
	revision uint64
	event    event
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  []change
	changed  chan struct{}        // closed at the next change
	beats    map[string]time.Time // of the entries of kind servers
	drill    drill
}

func runStore(args []string) int {
	flags := flag.NewFlagSet("store", flag.ExitOnError)
	listen := flags.String("listen", "", "IP:PORT")
	era := flags.Int("era", unnamedEra, "first Store-Era; -1 names none")
	_ = flags.Parse(args) // exits on an error
	s := &store{drill: drill{era: *era}, revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}), beats: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", s.listOrWatch)
	mux.HandleFunc("POST /objects/{kind}", s.create)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.get)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.remove)
	mux.HandleFunc("POST /standin/beat/{name}", s.beat)
	mux.HandleFunc("POST /standin/config", s.setConfig)
	mux.HandleFunc("POST /standin/copy", s.copy)
	mux.HandleFunc("POST /standin/restore", s.restore)
	go s.expire()
	fmt.Fprintln(os.Stderr, http.ListenAndServe(*listen, s.withEra(mux)))
	return exitNotRun
}

// applyLocked stores a change and wakes the watches.
func (s *store) applyLocked(kind string, o object, deleted bool) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		o.Metadata.Revision = s.revision
		if o.Metadata.Created == 0 {
			o.Metadata.Created = s.revision
		}
		s.objects[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, change{kind: kind, revision: s.revision, event: event{Deleted: deleted, Object: o}})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller is gone if it fails
}

func (s *store) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	kind, after := r.PathValue("kind"), r.URL.Query().Get("after")
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query, kind := r.URL.Query(), r.PathValue("kind")
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "watch or wait_ms"})
		return
	}
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c.event)
			}
		}
		at, changed, away := s.revision, s.changed, s.drill.away
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler) // cuts the watch off
		case after > at:
			reply(w, http.StatusGone, map[string]string{"error": "no such revision"})
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such object"})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var in object
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Metadata.Name == "" {
		reply(w, http.StatusBadRequest, map[string]string{"error": "no object"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := r.PathValue("kind")
	if held, ok := s.objects[kind][in.Metadata.Name]; ok {
		reply(w, http.StatusConflict, held)
		return
	}
	in.Metadata.Revision, in.Metadata.Created = 0, 0
	reply(w, http.StatusOK, s.applyLocked(kind, in, false))
}

func (s *store) put(w http.ResponseWriter, r *http.Request) {
	var in object
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "no object"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	held, ok := s.objects[kind][name]
	switch {
	case !ok:
		reply(w, http.StatusNotFound, map[string]string{"error": "no such object"})
	case in.Metadata.Revision != 0 && in.Metadata.Revision != held.Metadata.Revision:
		reply(w, http.StatusConflict, held)
	case bytes.Equal(in.Spec, held.Spec):
		reply(w, http.StatusOK, held)
	default:
		held.Spec, held.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
		reply(w, http.StatusOK, s.applyLocked(kind, held, false))
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	held, ok := s.objects[kind][name]
	named := r.URL.Query().Get("revision")
	switch {
	case !ok:
		reply(w, http.StatusNotFound, map[string]string{"error": "no such object"})
	case named != "" && named != strconv.FormatUint(held.Metadata.Revision, 10):
		reply(w, http.StatusConflict, held)
	default:
		s.applyLocked(kind, held, true)
		reply(w, http.StatusOK, held)
	}
}

// beat takes the heartbeat of a server. The entry changes only if more than its sequence does.
func (s *store) beat(w http.ResponseWriter, r *http.Request) {
	var spec map[string]any
	if json.NewDecoder(r.Body).Decode(&spec) != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "no entry"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.PathValue("name")
	s.beats[name] = time.Now()
	held, ok := s.objects["servers"][name]
	if ok {
		var before map[string]any
		_ = json.Unmarshal(held.Spec, &before) // written by this function
		spec["sequence"], before["sequence"] = 0, 0
		a, _ := json.Marshal(spec)
		b, _ := json.Marshal(before)
		if bytes.Equal(a, b) {
			reply(w, http.StatusOK, held)
			return
		}
	}
	data, _ := json.Marshal(spec)
	held.Metadata.Name, held.Spec = name, data
	reply(w, http.StatusOK, s.applyLocked("servers", held, false))
}

// setConfig stores the operator's configuration.
func (s *store) setConfig(w http.ResponseWriter, r *http.Request) {
	var spec json.RawMessage
	if json.NewDecoder(r.Body).Decode(&spec) != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "no configuration"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.objects["config"]["main"]
	held.Metadata.Name, held.Spec = "main", spec
	reply(w, http.StatusOK, s.applyLocked("config", held, false))
}

// expire removes the entries of servers that are silent.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for name, at := range s.beats {
			if time.Since(at) > heartbeatLapse {
				delete(s.beats, name)
				s.applyLocked("servers", s.objects["servers"][name], true)
			}
		}
		s.mu.Unlock()
	}
}
