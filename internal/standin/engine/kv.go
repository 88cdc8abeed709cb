package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/standin/answer"
)

// exported is a prefilled segment whose KV other engines may decode over. Its
// memory stays taken until it is freed or the engine dies.
type exported struct {
	id     string
	handle string
	tokens int
	bytes  int
	hash   uint64
}

// segmentInfo is the body of GET /v1/kv/HANDLE: what an importing engine needs
// to check that a segment is the part of the prompt it is said to be.
type segmentInfo struct {
	Bytes  int    `json:"bytes"`
	Tokens int    `json:"tokens"`
	Hash   uint64 `json:"hash,string"`
}

// prefillBody is the body of POST /v1/kv/prefill.
type prefillBody struct {
	RequestID string `json:"request_id"`
	Segment   int    `json:"segment"`
	Segments  int    `json:"segments"`
	Priority  int    `json:"priority"`
	Text      string `json:"text"`
}

// prefillResult is its answer.
type prefillResult struct {
	Handle    string `json:"handle"`
	Tokens    int    `json:"tokens"`
	PrefillUs int64  `json:"prefill_us"`
}

func (s *Server) handlePrefill(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	if err != nil {
		s.badRequest(w, err.Error())
		return
	}
	var body prefillBody
	if err := json.Unmarshal(data, &body); err != nil {
		s.badRequest(w, err.Error())
		return
	}
	if body.Text == "" || body.Segment < 0 || body.Segment >= body.Segments {
		s.badRequest(w, "text, segment and segments must make sense together")
		return
	}
	s.prefillSegment(w, r, &body)
}

func (s *Server) prefillSegment(w http.ResponseWriter, r *http.Request, body *prefillBody) {
	q := newSequence(body.RequestID, body.Priority, answer.Count(body.Text), 0)
	died, err := s.submit(q, false)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "not_run", err.Error())
		return
	}
	defer s.cancel(q)
	if s.kills(body.Text) {
		s.kill()
	}
	for q.ended.Load() != endDone {
		if q.ended.Load() == endCancelled || !await(r.Context(), q, died) {
			s.dropUnanswered(q)
			panic(http.ErrAbortHandler)
		}
	}
	e := s.export(q, body)
	if r.Context().Err() != nil {
		// The caller went away while the step ended: it will never learn the
		// handle, so that memory would be lost for good.
		s.free(e.handle)
		return
	}
	writeJSON(w, http.StatusOK, prefillResult{e.handle, e.tokens, q.prefillAt.Microseconds()})
}

// dropUnanswered frees a segment that was complete before its caller learned so.
func (s *Server) dropUnanswered(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.home == s.sched && q.ended.Load() == endDone && q.kv > 0 {
		s.sched.release(q.kv)
		q.kv = 0
	}
}

func (s *Server) export(q *sequence, body *prefillBody) *exported {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.home != s.sched {
		panic(http.ErrAbortHandler) // died and perhaps came back meanwhile
	}
	s.handles++
	e := &exported{
		id:     body.RequestID,
		handle: strconv.FormatUint(s.boot, 10) + "-" + strconv.FormatUint(s.handles, 10),
		tokens: q.kv,
		bytes:  len(body.Text),
		hash:   uint64(answer.SeedOf(body.Text)),
	}
	s.exported[e.handle] = e
	return e
}

// free gives up an exported segment. A second call finds nothing and is fine.
func (s *Server) free(handle string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.exported[handle]
	if e == nil {
		return false
	}
	delete(s.exported, handle)
	s.sched.release(e.tokens)
	s.sampleLoad(time.Now())
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
	return true
}

func (s *Server) handleFree(w http.ResponseWriter, r *http.Request) {
	if !s.free(r.PathValue("handle")) {
		writeError(w, http.StatusNotFound, "no_such_handle", "no such segment")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleSegment(w http.ResponseWriter, r *http.Request) {
	info, ok := s.localSegment(r.PathValue("handle"))
	if !ok {
		writeError(w, http.StatusNotFound, "no_such_handle", "no such segment")
		return
	}
	writeJSON(w, http.StatusOK, info)
}

func (s *Server) localSegment(handle string) (segmentInfo, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.exported[handle]
	if e == nil {
		return segmentInfo{}, false
	}
	return segmentInfo{Bytes: e.bytes, Tokens: e.tokens, Hash: e.hash}, true
}

// segmentInfo asks the engine that exported a segment what it holds.
func (s *Server) segmentInfo(ctx context.Context, m groupMember) (segmentInfo, error) {
	if m.Address == s.address && s.address != "" {
		info, ok := s.localSegment(m.Handle)
		if !ok {
			return info, errors.Errorf("step attach, peer %s: no segment %s", m.Address, m.Handle)
		}
		return info, nil
	}
	return fetchSegment(ctx, m)
}

var peers = &http.Client{
	Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute},
	Timeout:   10 * time.Second,
}

func fetchSegment(ctx context.Context, m groupMember) (info segmentInfo, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Address+"/v1/kv/"+m.Handle, nil)
	if err != nil {
		return info, errors.Annotatef(err, "step attach, peer %s", m.Address)
	}
	resp, err := peers.Do(req)
	if err != nil {
		return info, errors.Annotatef(err, "step attach, peer %s", m.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return info, errors.Errorf("step attach, peer %s: status %d for segment %s", m.Address, resp.StatusCode, m.Handle)
	}
	err = json.NewDecoder(resp.Body).Decode(&info)
	return info, errors.Annotatef(err, "step attach, peer %s", m.Address)
}
