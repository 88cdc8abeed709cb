package engine

import (
	"context"
	"net/http"
	"time"

	client "github.com/briarturn/briarturn/engine"
	"github.com/briarturn/briarturn/internal/standin/answer"
)

// maxPrefixBlocks bounds the block hashes of one prompt.
const maxPrefixBlocks = 4096

// watchEvery is how often a leader looks whether its segments are still there.
const watchEvery = 50 * time.Millisecond

// handleRun serves chat completions and completions.
func (s *Server) handleRun(w http.ResponseWriter, r *http.Request, chat bool) {
	data, err := readBody(w, r)
	if err != nil {
		s.badRequest(w, err.Error())
		return
	}
	body, err := parseRun(data)
	if err != nil {
		s.badRequest(w, err.Error())
		return
	}
	prompt, err := body.prompt(chat)
	if err != nil {
		s.badRequest(w, err.Error())
		return
	}
	if !s.serves(body.Model) {
		s.countBadInput()
		writeError(w, http.StatusNotFound, "model_not_found", "model "+body.Model+" is not served here")
		return
	}
	a := s.newAnswer(r, body, prompt, chat)
	if !a.priorMatches(body.PriorText) {
		s.badRequest(w, "prior_text is not the first chunks of this answer")
		return
	}
	share, ok := s.ownShare(r.Context(), w, body.Group, prompt)
	if !ok {
		return
	}
	s.execute(w, r, a, prompt, share, body)
}

// execute runs the sequence and writes its answer.
func (s *Server) execute(w http.ResponseWriter, r *http.Request, a *answerWriter, prompt string, share int, body *runBody) {
	q := newSequence(a.id, body.Priority, max(1, share), a.output)
	if len(body.Group) == 0 && s.cfg.PrefixCacheTokens > 0 {
		q.prefix = client.AppendPrefixHashes(nil, prompt, maxPrefixBlocks)
	}
	q.generated.Store(int64(a.firstToken()))
	if a.firstToken() >= a.output {
		// Nothing is left but the closing chunks: the text is all with the caller.
		q.ended.Store(endDone)
		a.stream(w, r, q, nil)
		return
	}
	died, err := s.submit(q, body.ResumeFrom > 0)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "not_run", err.Error())
		return
	}
	defer s.cancel(q)
	if s.kills(prompt) {
		s.kill()
	}
	if len(body.Group) > 0 {
		ctx, stop := context.WithCancel(r.Context())
		defer stop()
		go s.watchGroup(ctx, body.Group, q)
	}
	if body.Stream {
		a.stream(w, r, q, died)
		return
	}
	a.whole(w, r, q, died)
}

// await blocks until the sequence has more to write than it had, and reports
// whether it is still of use: a dead engine or a vanished caller ends it.
func await(ctx context.Context, q *sequence, died <-chan struct{}) bool {
	select {
	case <-q.signal:
	case <-died:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		return false
	}
	if q.ended.Load() == endDied {
		panic(http.ErrAbortHandler)
	}
	return true
}

// ownShare returns how many prompt tokens this engine prefills itself, after it
// has attached the segments that others exported.
func (s *Server) ownShare(ctx context.Context, w http.ResponseWriter, group []groupMember, prompt string) (int, bool) {
	rest := prompt
	for _, member := range group {
		info, err := s.segmentInfo(ctx, member)
		if err != nil {
			writeError(w, http.StatusServiceUnavailable, "not_run", err.Error())
			return 0, false
		}
		if info.Bytes > len(rest) || answer.SeedOf(rest[:info.Bytes]) != answer.Seed(info.Hash) {
			s.badRequest(w, "segment "+member.Handle+" of "+member.Address+" is not the next part of this prompt")
			return 0, false
		}
		rest = rest[info.Bytes:]
	}
	if !s.transfer(ctx, len(group)) {
		return 0, false
	}
	return answer.Count(rest), true
}

// transfer spends the time that attaching n segments takes.
func (s *Server) transfer(ctx context.Context, n int) bool {
	if n == 0 {
		return true
	}
	select {
	case <-time.After(time.Duration(n*s.cfg.TransferUs) * time.Microsecond):
		return true
	case <-ctx.Done():
		return false
	}
}

// watchGroup ends a decode when a segment under it is gone: its KV stays where
// it was prefilled, so a member that died or was freed too early ends the answer.
func (s *Server) watchGroup(ctx context.Context, group []groupMember, q *sequence) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, member := range group {
			if _, err := s.segmentInfo(ctx, member); err != nil && ctx.Err() == nil {
				s.cancel(q)
				return
			}
		}
	}
}

// priorMatches reports whether the caller's text is what this engine would have
// said in the chunks before ResumeFrom.
func (a *answerWriter) priorMatches(prior string) bool {
	if a.resumeFrom == 0 {
		return true
	}
	want := a.seed.AppendRange(nil, 0, a.firstToken())
	return prior == string(want)
}
