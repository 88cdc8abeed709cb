package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// drainTimeout is the maximum wait for the end of a body after its last event.
const drainTimeout = 100 * time.Millisecond

// Usage is the number of tokens that the engine counted.
type Usage struct {
	Prompt int64
	Output int64
	Cached int64
}

// Chunk is one data payload of the stream. Data is valid until the next call of
// Next.
type Chunk struct {
	Data   []byte
	Tokens int // estimate: 1 if the chunk has choices, otherwise 0; Usage has the totals
}

// Stream is the response of a run. The caller must close it on every path:
// closing an unfinished stream makes the engine stop the run and free its
// memory.
type Stream struct {
	client    *Client
	body      io.ReadCloser
	sse       *sseReader
	usage     Usage
	firstByte time.Duration
	err       error
}

var (
	doneMarker  = []byte("[DONE]")
	usageField  = []byte(`"usage":{`)
	errorField  = []byte(`{"error"`)
	noChoices   = []byte(`"choices":[]`)
	choiceField = []byte(`"choices":[`)
)

// Next returns the next chunk, or io.EOF after the engine has marked the
// response as complete. Any other end is an error. Further calls return the
// same result.
func (s *Stream) Next() (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	data, err := s.sse.next()
	if err != nil {
		return s.terminate(s.readError(err))
	}
	if bytes.Equal(data, doneMarker) {
		s.drain()
		return s.terminate(io.EOF)
	}
	if !json.Valid(data) || data[0] != '{' {
		return s.terminate(s.client.malformedError(errors.Errorf("chunk is not an object: %q", excerpt(data)), "stream"))
	}
	if bytes.HasPrefix(data, errorField) {
		s.client.counters.status.Inc(1)
		e := &StatusError{Status: http.StatusOK, Code: errorCode(data), Excerpt: excerpt(data)}
		return s.terminate(s.client.annotate(e, "stream"))
	}
	if bytes.Contains(data, usageField) {
		s.readUsage(data)
	}
	return Chunk{Data: data, Tokens: estimateTokens(data)}, nil
}

// drain reads up to the end of the body; otherwise net/http would close the
// connection instead of reusing it. The wait is limited, so that an engine that
// leaves the body open does not delay the response.
func (s *Stream) drain() {
	timer := time.AfterFunc(drainTimeout, func() { _ = s.body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.body, maxErrorBodyBytes)
}

func estimateTokens(data []byte) int {
	if bytes.Contains(data, choiceField) && !bytes.Contains(data, noChoices) {
		return 1
	}
	return 0
}

func (s *Stream) terminate(err error) (Chunk, error) {
	s.err = err
	return Chunk{}, err
}

// readError wraps an error of the connection. An end without [DONE] is one too:
// otherwise a truncated response would look complete.
func (s *Stream) readError(err error) error {
	if errors.Is(err, ErrMalformed) {
		return s.client.malformedError(err, "stream")
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return s.client.brokenError(err, "stream")
}

func (s *Stream) readUsage(data []byte) {
	var body struct {
		Usage struct {
			Prompt  int64 `json:"prompt_tokens"`
			Output  int64 `json:"completion_tokens"`
			Details struct {
				Cached int64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &body) == nil {
		s.usage = Usage{Prompt: body.Usage.Prompt, Output: body.Usage.Output, Cached: body.Usage.Details.Cached}
	}
}

// Usage returns the token counts of the engine; they are zero until the chunk
// with the usage, the last one, was read.
func (s *Stream) Usage() Usage { return s.usage }

// FirstByte returns the time from sending the request to the response header.
func (s *Stream) FirstByte() time.Duration { return s.firstByte }

// Close ends the stream. After io.EOF the connection is kept for another run.
func (s *Stream) Close() error { return s.body.Close() }
