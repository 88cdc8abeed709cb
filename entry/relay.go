package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// errBadChunk reports that a chunk or head of an answer doesn't conform to the
// engine's API.
const errBadChunk = errors.ConstError("malformed chunk")

// callerError reports that the answer could not be delivered because the caller
// disconnected or reads too slowly.
type callerError struct{ err error }

func (c *callerError) Error() string { return "caller: " + c.err.Error() }
func (c *callerError) Unwrap() error { return c.err }

// sink writes one answer to its caller in the requested format.
type sink interface {
	head(*wirepb.Head) error
	// chunk accepts the next chunk in sequence.
	chunk(data []byte) error
	// finish completes the answer.
	finish(end *wirepb.End) error
	// fail reports a failure in the form that is still possible.
	fail(f *request.Failure)
	// started reports whether the caller may have received part of the answer.
	started() bool
	// record returns the answer as stored in a claim's record.
	record() recordedAnswer
	// replay writes a recorded answer.
	replay(a recordedAnswer) error
	// prior returns the text received so far, which a resumed attempt needs.
	prior() []byte
	// resumable reports whether another server can continue a broken answer.
	resumable() bool
}

// chunkJSON holds the fields of an engine's chunk that the entry reads.
type chunkJSON struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usageJSON `json:"usage"`
}

type usageJSON struct {
	PromptTokens     uint64         `json:"prompt_tokens"`
	CompletionTokens uint64         `json:"completion_tokens"`
	TotalTokens      uint64         `json:"total_tokens"`
	Details          *promptDetails `json:"prompt_tokens_details,omitempty"`
}

type promptDetails struct {
	CachedTokens uint64 `json:"cached_tokens"`
}

// answerBuilder accumulates the content of the chunks. A resumed attempt needs
// its text, and a response that isn't streamed is built from it.
type answerBuilder struct {
	c            *call
	id           string
	created      int64
	model        string
	text         strings.Builder
	finishReason string
	usage        *usageJSON
}

// addChunk adds one chunk. It reports whether the chunk contains only usage.
func (a *answerBuilder) addChunk(data []byte) (usageOnly bool, err error) {
	var m chunkJSON
	if err := json.Unmarshal(data, &m); err != nil {
		return false, errors.Annotatef(errBadChunk, "%v", err)
	}
	if a.id == "" {
		a.id, a.created, a.model = m.ID, m.Created, m.Model
	}
	for i := range m.Choices {
		a.text.WriteString(m.Choices[i].Delta.Content)
		a.text.WriteString(m.Choices[i].Text)
		if r := m.Choices[i].FinishReason; r != nil {
			a.finishReason = *r
		}
	}
	if m.Usage != nil {
		a.usage = m.Usage
	}
	return m.Usage != nil && len(m.Choices) == 0, nil
}

func (a *answerBuilder) prior() []byte { return []byte(a.text.String()) }

func (a *answerBuilder) resumable() bool { return true }

// setUsage takes the usage from the agent's End if the engine sent none.
func (a *answerBuilder) setUsage(end *wirepb.End) {
	if a.usage != nil {
		return
	}
	a.usage = &usageJSON{
		PromptTokens:     end.GetPromptTokens(),
		CompletionTokens: end.GetOutputTokens(),
		TotalTokens:      end.GetPromptTokens() + end.GetOutputTokens(),
	}
	if end.GetCachedTokens() > 0 {
		a.usage.Details = &promptDetails{CachedTokens: end.GetCachedTokens()}
	}
}

type choiceJSON struct {
	Index        int          `json:"index"`
	Message      *messageJSON `json:"message,omitempty"`
	Delta        *messageJSON `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type messageJSON struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionJSON struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceJSON `json:"choices"`
	Usage   *usageJSON   `json:"usage,omitempty"`
}

// response encodes the answer as one response.
func (a *answerBuilder) response() []byte {
	out := a.envelope("chat.completion", "text_completion")
	choice := choiceJSON{}
	if a.finishReason != "" {
		choice.FinishReason = &a.finishReason
	}
	text := a.text.String()
	if a.c.spec.Kind == request.KindChat {
		choice.Message = &messageJSON{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	out.Choices = []choiceJSON{choice}
	out.Usage = a.usage
	return marshal(out)
}

// usageChunk returns the final chunk of a stream whose caller requested usage.
func (a *answerBuilder) usageChunk() []byte {
	out := a.envelope("chat.completion.chunk", "text_completion")
	out.Choices = []choiceJSON{}
	out.Usage = a.usage
	return marshal(out)
}

func (a *answerBuilder) envelope(chat, completion string) completionJSON {
	out := completionJSON{ID: a.id, Object: completion, Created: a.created, Model: a.model}
	if a.c.spec.Kind == request.KindChat {
		out.Object = chat
	}
	if out.ID == "" {
		out.ID = a.c.spec.ID
	}
	if out.Model == "" {
		out.Model = a.c.spec.Model
	}
	return out
}

func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil { // can't fail: plain structs and maps of strings and numbers
		panic(err)
	}
	return data
}

func (a *answerBuilder) record() recordedAnswer {
	return recordedAnswer{status: http.StatusOK, contentType: "application/json", body: a.response()}
}

// writer writes to a caller with a deadline for each write.
//
// If a caller stops reading without closing its connection, the socket buffer
// fills up. Without a deadline the write would block until the request's time
// limit and the engine's memory would stay in use.
type writer struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	timeout     time.Duration
	bodyStarted bool
}

func newWriter(w http.ResponseWriter, timeout time.Duration) writer {
	return writer{w: w, control: http.NewResponseController(w), timeout: timeout}
}

func (w *writer) started() bool { return w.bodyStarted }

func (w *writer) write(parts ...[]byte) error {
	w.bodyStarted = true
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	for _, p := range parts {
		if _, err := w.w.Write(p); err != nil {
			return &callerError{err}
		}
	}
	return nil
}

func (w *writer) flush() error {
	if err := w.control.Flush(); err != nil {
		return &callerError{err}
	}
	return nil
}

// bufferedSink writes the answer as one response.
type bufferedSink struct {
	answerBuilder
	writer
}

func newBufferedSink(w http.ResponseWriter, c *call, timeout time.Duration) *bufferedSink {
	return &bufferedSink{answerBuilder: answerBuilder{c: c}, writer: newWriter(w, timeout)}
}

func (s *bufferedSink) head(*wirepb.Head) error { return nil }

func (s *bufferedSink) chunk(data []byte) error {
	_, err := s.addChunk(data)
	return err
}

func (s *bufferedSink) finish(end *wirepb.End) error {
	s.setUsage(end)
	return s.replay(s.record())
}

func (s *bufferedSink) replay(a recordedAnswer) error {
	s.w.Header().Set("Content-Type", a.contentType)
	s.w.WriteHeader(a.status)
	return s.write(a.body, []byte("\n"))
}

func (s *bufferedSink) fail(f *request.Failure) {
	// If the body was started, the failure is the write to the caller.
	if !s.bodyStarted {
		writeFailure(s.w, f, s.c.spec.ID)
	}
}

// streamSink writes the answer as server-sent events.
type streamSink struct {
	answerBuilder
	writer
}

var (
	sseData = []byte("data: ")
	sseEnd  = []byte("\n\n")
	sseDone = []byte("data: [DONE]\n\n")
)

func newStreamSink(w http.ResponseWriter, c *call, timeout time.Duration) *streamSink {
	return &streamSink{answerBuilder: answerBuilder{c: c}, writer: newWriter(w, timeout)}
}

func (s *streamSink) head(*wirepb.Head) error { return nil }

func (s *streamSink) chunk(data []byte) error {
	usageOnly, err := s.addChunk(data)
	if err != nil {
		return err
	}
	if usageOnly && !s.c.body.StreamOptions.IncludeUsage {
		return nil
	}
	return s.event(data)
}

func (s *streamSink) event(data []byte) error {
	s.writeHeader()
	if err := s.write(sseData, data, sseEnd); err != nil {
		return err
	}
	return s.flush()
}

// writeHeader writes the response header. It is called with the first event,
// so that an earlier failure is still reported with its own HTTP status.
func (s *streamSink) writeHeader() {
	if s.bodyStarted {
		return
	}
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) finish(end *wirepb.End) error {
	if s.usage == nil && s.c.body.StreamOptions.IncludeUsage {
		s.setUsage(end)
		if err := s.event(s.usageChunk()); err != nil {
			return err
		}
	}
	s.setUsage(end)
	s.writeHeader()
	if err := s.write(sseDone); err != nil {
		return err
	}
	return s.flush()
}

// replay writes a recorded answer as one chunk.
func (s *streamSink) replay(a recordedAnswer) error {
	var m completionJSON
	if err := json.Unmarshal(a.body, &m); err != nil {
		return errors.Annotate(err, "step replay")
	}
	usage := m.Usage
	m.Usage = nil
	if m.Object == "chat.completion" {
		m.Object = "chat.completion.chunk"
	}
	for i := range m.Choices {
		m.Choices[i].Delta, m.Choices[i].Message = m.Choices[i].Message, nil
	}
	if err := s.event(marshal(m)); err != nil {
		return err
	}
	if s.c.body.StreamOptions.IncludeUsage {
		m.Choices, m.Usage = []choiceJSON{}, usage
		if err := s.event(marshal(m)); err != nil {
			return err
		}
	}
	if err := s.write(sseDone); err != nil {
		return err
	}
	return s.flush()
}

// fail ends a started stream with an error event and without [DONE], so that the
// caller can't mistake a truncated answer for a complete one.
func (s *streamSink) fail(f *request.Failure) {
	if !s.bodyStarted {
		writeFailure(s.w, f, s.c.spec.ID)
		return
	}
	_ = s.event(errorJSON(f, s.c.spec.ID))
}
