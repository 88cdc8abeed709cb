//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store plays the platform's metadata store as PROTOCOL.md describes it: objects by kind
// and name, one revision counter, lists, watches and conditional writes. It keeps its
// whole history.
type store struct {
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced with each change
	revision uint64
	objects  map[string]map[string]*object // by kind and name
	history  []change
	server   *http.Server
	address  string
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

type change struct {
	kind     string
	revision uint64
	event    event
}

// startStore serves a store on a free port of ip.
func startStore(ip string) (*store, error) {
	s := &store{changed: make(chan struct{}), revision: 1, objects: map[string]map[string]*object{}}
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = lis.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(lis) }()
	return s, nil
}

// put writes an object as the operator or an engine does; it returns when the store has
// accepted it, which is the acknowledgement.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data, nil)
}

// expire removes an object, as the store does with the entry of an engine that is silent.
func (s *store) expire(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.objects[kind][name]; held != nil {
		s.revision++
		delete(s.objects[kind], name)
		s.recordLocked(kind, event{Object: *held, Deleted: true})
	}
}

func (s *store) putLocked(kind, name string, spec json.RawMessage, finalizers []string) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	held := s.objects[kind][name]
	if held != nil && string(held.Spec) == string(spec) && strings.Join(held.Metadata.Finalizers, ",") == strings.Join(finalizers, ",") {
		return *held
	}
	s.revision++
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: finalizers}, Spec: spec}
	if held != nil {
		o.Metadata.Created, o.Status = held.Metadata.Created, held.Status
	}
	s.objects[kind][name] = o
	s.recordLocked(kind, event{Object: *o})
	return *o
}

func (s *store) recordLocked(kind string, e event) {
	s.history = append(s.history, change{kind: kind, revision: s.revision, event: e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := path[0], ""
	if len(path) > 1 {
		name = path[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind][name]
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, *o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := []event{}, s.revision, s.changed
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c.event)
			}
		}
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
				ended = true
			}
		}
		if ended || len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if held := s.objects[kind][in.Metadata.Name]; held != nil {
			reply(w, http.StatusConflict, held)
			return
		}
		o := s.putLocked(kind, in.Metadata.Name, in.Spec, in.Metadata.Finalizers)
		reply(w, http.StatusOK, o)
		return
	}
	held := s.objects[kind][name]
	switch {
	case held == nil:
		w.WriteHeader(http.StatusNotFound)
	case in.Metadata.Revision != 0 && in.Metadata.Revision != held.Metadata.Revision:
		reply(w, http.StatusConflict, held)
	default:
		reply(w, http.StatusOK, s.putLocked(kind, name, in.Spec, in.Metadata.Finalizers))
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.objects[kind][name]
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	switch {
	case held == nil:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && revision != held.Metadata.Revision:
		reply(w, http.StatusConflict, held)
	default:
		s.revision++
		delete(s.objects[kind], name)
		s.recordLocked(kind, event{Object: *held, Deleted: true})
		reply(w, http.StatusOK, held)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
