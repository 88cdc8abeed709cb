package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/briarturn/briarturn/internal/standin/answer"
	"github.com/briarturn/briarturn/internal/standin/service"
)

const (
	maxLineBytes     = 1 << 20 // of one SSE line
	lineBufferBytes  = 4 << 10
	drainBytes       = 4 << 10
	maxAnswerSlack   = 64 << 10
	maxBytesPerToken = 64 // of an answer; beyond it reading stops
	endMark          = "[DONE]"
	eventPrefix      = "data:"
)

// apiError is the error object of the API.
type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Reason  string `json:"reason"`
}

func (e *apiError) reason() string {
	if e.Reason != "" {
		return e.Reason
	}
	return e.Type
}

type content struct {
	Content string `json:"content"`
}

type choice struct {
	Delta   content `json:"delta"`
	Message content `json:"message"`
	Text    string  `json:"text"`
}

func (c *choice) text() string { return c.Delta.Content + c.Message.Content + c.Text }

// reply is a whole response or one event of a stream.
type reply struct {
	Choices []choice  `json:"choices"`
	Error   *apiError `json:"error"`
}

func (r *reply) text() string {
	if len(r.Choices) == 0 {
		return ""
	}
	return r.Choices[0].text()
}

// read takes the response and fills the outcome but for its total.
func (c *client) read(ctx context.Context, a *arrival, p prompt, resp *http.Response, o *outcome, intended time.Time) {
	limit := int64(a.outputTokens*maxBytesPerToken + maxAnswerSlack)
	if resp.StatusCode != http.StatusOK {
		readFailure(resp, limit, o)
		return
	}
	if a.service() {
		c.readService(ctx, a, resp.Body, limit, o)
		return
	}
	text, ended := "", false
	if a.class.Stream {
		text, ended = readStream(ctx, resp.Body, limit, o, intended)
	} else {
		text, ended = readWhole(ctx, resp.Body, limit, o)
	}
	if !ended {
		return
	}
	// Set before the judgement, which isn't the server's time.
	o.total = time.Since(intended)
	drain(resp.Body)
	c.judge(a, p, text, o)
}

// readService takes the answer of a plain service. The stand-in echoes what it
// was asked and how often it ran under this key; what any other service says
// can't be judged here.
func (c *client) readService(ctx context.Context, a *arrival, r io.Reader, limit int64, o *outcome) {
	data, err := io.ReadAll(io.LimitReader(r, limit))
	if err != nil {
		o.status, o.reason = transportStatus(ctx, reasonBroken)
		return
	}
	var echo service.Echo
	if json.Unmarshal(data, &echo) != nil || echo.Key == "" {
		return
	}
	switch {
	case echo.Key != c.id(a):
		o.status = StatusCrossed
	case echo.Run > 1:
		o.status = StatusDoubled
	}
}

// drain reads what follows the end mark, which is the end of the body. Without
// it the connection can't be used again: each request would open a new one, and
// some hundreds a second would use up the ports.
func drain(r io.Reader) {
	// The answer is whole already; an error here only costs the connection.
	_, _ = io.CopyN(io.Discard, r, drainBytes)
}

// judge checks a whole answer against the one that the prompt implies.
func (c *client) judge(a *arrival, p prompt, got string, o *outcome) {
	c.verifying <- struct{}{}
	defer func() { <-c.verifying }()
	o.status = judgement(answer.Verify(p.text(), a.outputTokens, got))
	if o.status == StatusFinished {
		o.completed = a.outputTokens
	}
}

func readFailure(resp *http.Response, limit int64, o *outcome) {
	r := reply{Error: &apiError{}}
	// A body that can't be decoded leaves the code empty, and the status is
	// then reported as it stands.
	_ = json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(&r)
	if r.Error == nil {
		r.Error = &apiError{}
	}
	o.failed(r.Error.Code, r.Error.reason(), fmt.Sprintf("http_%d", resp.StatusCode))
}

func readWhole(ctx context.Context, r io.Reader, limit int64, o *outcome) (text string, ended bool) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	switch {
	case err != nil:
		o.status, o.reason = transportStatus(ctx, reasonBroken)
		return "", false
	case int64(len(data)) > limit:
		o.status, o.reason = StatusTransport, reasonTooLarge
		return "", false
	}
	var rep reply
	if err := json.Unmarshal(data, &rep); err != nil {
		o.status, o.reason = StatusTransport, reasonBadBody
		return "", false
	}
	return rep.text(), true
}

var lineBuffers = sync.Pool{New: func() any {
	b := make([]byte, lineBufferBytes)
	return &b
}}

// readStream reads SSE events up to the end mark. Where the stream fails, or
// carries an error, it sets the outcome and returns false.
func readStream(ctx context.Context, r io.Reader, limit int64, o *outcome, intended time.Time) (text string, ended bool) {
	buffer := lineBuffers.Get().(*[]byte)
	defer lineBuffers.Put(buffer)
	lines := bufio.NewScanner(r)
	lines.Buffer(*buffer, maxLineBytes)
	var b strings.Builder
	var last time.Time
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), eventPrefix)
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == endMark {
			return b.String(), true
		}
		var event reply
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			o.status, o.reason = StatusTransport, reasonBadBody
			return "", false
		}
		if event.Error != nil {
			o.failed(event.Error.Code, event.Error.reason(), "stream_error")
			return "", false
		}
		last = note(event.text(), &b, last, o, intended)
		if int64(b.Len()) > limit {
			o.status, o.reason = StatusTransport, reasonTooLarge
			return "", false
		}
	}
	o.status, o.reason = transportStatus(ctx, reasonBroken)
	return "", false
}

// note adds an event's text and its time, and returns that time. An event may
// carry several tokens; its gap is then shared out among them.
func note(text string, b *strings.Builder, last time.Time, o *outcome, intended time.Time) time.Time {
	if text == "" {
		return last
	}
	now := time.Now()
	if o.first {
		tokens := max(1, strings.Count(text, " ")) // each ends with a blank
		o.gaps = append(o.gaps, now.Sub(last)/time.Duration(tokens))
	} else {
		o.first, o.ttft = true, now.Sub(intended)
	}
	b.WriteString(text)
	return now
}
