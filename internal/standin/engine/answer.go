package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/briarturn/briarturn/internal/standin/answer"
)

// answerWriter renders one answer. Chunk i holds tokens i*perChunk and on; the
// last of them carries finish_reason; then come the usage chunk, if asked for,
// and [DONE].
type answerWriter struct {
	id           string
	chat         bool
	seed         answer.Seed
	model        string
	output       int
	promptTokens int
	perChunk     int
	resumeFrom   int
	usage        bool
	head         []byte // of a chunk, up to the text
	buf          []byte
}

func (s *Server) newAnswer(r *http.Request, body *runBody, prompt string, chat bool) *answerWriter {
	a := &answerWriter{
		id:           r.Header.Get("X-Request-Id"),
		chat:         chat,
		seed:         answer.SeedOf(prompt),
		model:        body.Model,
		output:       body.output(),
		promptTokens: answer.Count(prompt),
		perChunk:     s.cfg.AnswerTokensPerChunk,
		resumeFrom:   body.ResumeFrom,
		usage:        body.StreamOptions.IncludeUsage,
	}
	if a.id == "" {
		a.id = s.anonymousID()
	}
	a.head = a.chunkHead()
	return a
}

func (s *Server) anonymousID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handles++
	return "anonymous-" + strconv.FormatUint(s.handles, 10)
}

// chunks is the number of chunks that hold text.
func (a *answerWriter) chunks() int {
	return (a.output + a.perChunk - 1) / a.perChunk
}

// firstToken is the first token that the caller does not have yet.
func (a *answerWriter) firstToken() int {
	return min(min(a.resumeFrom, a.chunks())*a.perChunk, a.output)
}

func (a *answerWriter) object() string {
	if a.chat {
		return "chat.completion"
	}
	return "text_completion"
}

func (a *answerWriter) envelope(object string) []byte {
	name, _ := json.Marshal(a.model) // a string always marshals
	id, _ := json.Marshal(a.id)
	b := append([]byte(`{"id":`), id...)
	b = append(b, `,"object":"`+object+`","created":0,"model":`...)
	return append(b, name...)
}

func (a *answerWriter) chunkHead() []byte {
	object := a.object()
	if a.chat {
		object += ".chunk"
	}
	b := append([]byte("data: "), a.envelope(object)...)
	if a.chat {
		return append(b, `,"choices":[{"index":0,"delta":{"role":"assistant","content":"`...)
	}
	return append(b, `,"choices":[{"index":0,"text":"`...)
}

func (a *answerWriter) appendChunk(dst []byte, i int) []byte {
	from := i * a.perChunk
	to := min(from+a.perChunk, a.output)
	dst = append(dst, a.head...)
	dst = a.seed.AppendRange(dst, from, to)
	dst = append(dst, '"')
	if a.chat {
		dst = append(dst, '}')
	}
	if to < a.output {
		return append(dst, `,"finish_reason":null}]}`+"\n\n"...)
	}
	return append(dst, `,"finish_reason":"length"}]}`+"\n\n"...)
}

func (a *answerWriter) appendUsage(dst []byte, cached int) []byte {
	dst = append(dst, `"usage":{"prompt_tokens":`...)
	dst = strconv.AppendInt(dst, int64(a.promptTokens), 10)
	dst = append(dst, `,"completion_tokens":`...)
	dst = strconv.AppendInt(dst, int64(a.output), 10)
	dst = append(dst, `,"total_tokens":`...)
	dst = strconv.AppendInt(dst, int64(a.promptTokens+a.output), 10)
	dst = append(dst, `,"prompt_tokens_details":{"cached_tokens":`...)
	dst = strconv.AppendInt(dst, int64(cached), 10)
	return append(dst, `}}`...)
}

// appendEnd appends the chunks after the text.
func (a *answerWriter) appendEnd(dst []byte, cached int) []byte {
	if a.usage && a.resumeFrom <= a.chunks() {
		dst = append(dst, "data: "...)
		dst = append(dst, a.envelope(a.object()+".chunk")...)
		dst = append(dst, `,"choices":[],`...)
		dst = a.appendUsage(dst, cached)
		dst = append(dst, "}\n\n"...)
	}
	return append(dst, "data: [DONE]\n\n"...)
}

// stream writes chunks as the sequence generates them.
func (a *answerWriter) stream(w http.ResponseWriter, r *http.Request, q *sequence, died <-chan struct{}) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	next := min(a.resumeFrom, a.chunks())
	for {
		ended := q.ended.Load()
		if ended == endCancelled {
			panic(http.ErrAbortHandler)
		}
		next = a.appendReady(next, int(q.generated.Load()))
		if ended == endDone {
			a.buf = a.appendEnd(a.buf, q.cached)
		}
		if !a.flush(w, flusher) || ended == endDone {
			return
		}
		if !await(r.Context(), q, died) {
			return
		}
	}
}

// appendReady renders the chunks from next on whose tokens are all generated.
func (a *answerWriter) appendReady(next, generated int) int {
	a.buf = a.buf[:0]
	for next < a.chunks() && generated >= min((next+1)*a.perChunk, a.output) {
		a.buf = a.appendChunk(a.buf, next)
		next++
	}
	return next
}

func (a *answerWriter) flush(w http.ResponseWriter, flusher *http.ResponseController) bool {
	if len(a.buf) == 0 {
		return true
	}
	if _, err := w.Write(a.buf); err != nil {
		return false
	}
	return flusher.Flush() == nil
}

// whole writes the answer as one JSON object.
func (a *answerWriter) whole(w http.ResponseWriter, r *http.Request, q *sequence, died <-chan struct{}) {
	for q.ended.Load() != endDone {
		if q.ended.Load() == endCancelled {
			panic(http.ErrAbortHandler)
		}
		if !await(r.Context(), q, died) {
			return
		}
	}
	b := a.envelope(a.object())
	if a.chat {
		b = append(b, `,"choices":[{"index":0,"message":{"role":"assistant","content":"`...)
	} else {
		b = append(b, `,"choices":[{"index":0,"text":"`...)
	}
	b = a.seed.AppendRange(b, a.firstToken(), a.output)
	b = append(b, '"')
	if a.chat {
		b = append(b, '}')
	}
	b = append(b, `,"finish_reason":"length"}],`...)
	b = a.appendUsage(b, q.cached)
	b = append(b, '}')
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // the caller is gone if this fails
}
