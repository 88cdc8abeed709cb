package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	bytesPerToken   = 4
	nonceBytes      = 36 // "%016x-%016x" and ": " and one more blank
	minPromptTokens = nonceBytes / bytesPerToken
	minSharedTokens = minPromptTokens
)

// filler is the text that all prompts share behind their nonce. It needs no
// escaping in JSON.
var filler = sync.OnceValue(func() string {
	var b strings.Builder
	b.Grow(maxTokens*bytesPerToken + 64)
	for i := 0; b.Len() < maxTokens*bytesPerToken; i++ {
		fmt.Fprintf(&b, "item %07d of the list; ", i)
	}
	return b.String()
})

// prompt is a unique prompt that is not yet laid out in memory.
type prompt struct {
	shared [2]string // the part that a class and workspace share; may be empty
	nonce  string
	rest   string // a slice of filler
}

// newPrompt returns the prompt of an arrival of a run; salt names the run.
func newPrompt(salt uint64, a *arrival) prompt {
	p := prompt{nonce: stamp(salt, uint64(a.index))}
	bytes := a.promptTokens * bytesPerToken
	if shared := a.class.SharedTokens * bytesPerToken; shared > 0 {
		owner := xxhash.Sum64String(a.class.Name) + uint64(a.workspace)
		head := stamp(salt, owner)
		p.shared = [2]string{head, filler()[:shared-len(head)]}
		bytes -= shared
	}
	p.rest = filler()[:bytes-len(p.nonce)]
	return p
}

// stamp returns nonceBytes bytes that are unique to the run and number.
func stamp(salt, number uint64) string { return fmt.Sprintf("%016x-%016x:  ", salt, number) }

func (p prompt) pieces() []string { return []string{p.shared[0], p.shared[1], p.nonce, p.rest} }

// text lays the prompt out. For long prompts that is megabytes.
func (p prompt) text() string { return strings.Join(p.pieces(), "") }

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// parameters is the part of a body in front of the prompt.
type parameters struct {
	Model         string         `json:"model"`
	MaxTokens     int            `json:"max_tokens"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

// body is a request's body in pieces, so that two thousand long prompts in
// flight share one filler.
type body struct {
	pieces []string
}

func (b body) length() int64 {
	var n int
	for _, p := range b.pieces {
		n += len(p)
	}
	return int64(n)
}

func (b body) reader() io.ReadCloser {
	readers := make([]io.Reader, len(b.pieces))
	for i, p := range b.pieces {
		readers[i] = strings.NewReader(p)
	}
	return io.NopCloser(io.MultiReader(readers...))
}

func chatBody(model string, a *arrival, p prompt) (body, error) {
	return promptBody(model, a, p, `,"messages":[{"role":"user","content":"`, `"}]}`)
}

func completionBody(model string, a *arrival, p prompt) (body, error) {
	return promptBody(model, a, p, `,"prompt":"`, `"}`)
}

func promptBody(model string, a *arrival, p prompt, before, after string) (body, error) {
	params := parameters{Model: model, MaxTokens: a.outputTokens, Stream: a.class.Stream}
	if params.Stream {
		params.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	head, err := json.Marshal(params)
	if err != nil {
		return body{}, errors.Annotate(err, "step encode request")
	}
	head = bytes.TrimSuffix(head, []byte("}"))
	pieces := append([]string{string(head), before}, p.pieces()...)
	return body{pieces: append(pieces, after)}, nil
}

// confirmation is the body of a call of a plain service.
type confirmation struct {
	ID string `json:"id"`
}

func serviceBody(id string) (body, error) {
	data, err := json.Marshal(confirmation{ID: id})
	if err != nil {
		return body{}, errors.Annotate(err, "step encode confirmation")
	}
	return body{pieces: []string{string(data)}}, nil
}
