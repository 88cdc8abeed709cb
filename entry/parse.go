package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/engine"
	"github.com/briarturn/briarturn/request"
)

const (
	// bytesPerToken is the estimate used until an engine reports its token count.
	bytesPerToken = 4
	// maxPrefixBlocks is the maximum number of prefix hashes of a prompt; 64 KiB
	// are enough to distinguish shared preambles.
	maxPrefixBlocks = 64
)

// message is one chat message with text content.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a string or a list of text parts.
type content string

// UnmarshalJSON implements json.Unmarshaler. It decodes directly from the
// body's bytes, so that a prompt of several megabytes is copied only once.
func (c *content) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		return nil
	}
	if len(b) > 0 && b[0] == '"' {
		return unquote(b, (*string)(c))
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported", p.Type)
		}
		text.WriteString(p.Text)
	}
	*c = content(text.String())
	return nil
}

// unquote decodes a JSON string that the decoder has already validated. A
// string without escapes, as most large prompts are, needs no second pass of
// the decoder.
func unquote(b []byte, s *string) error {
	if bytes.IndexByte(b, '\\') >= 0 {
		return json.Unmarshal(b, s)
	}
	*s = string(b[1 : len(b)-1])
	return nil
}

// promptText is the prompt of a completion: a string or a list of one string.
type promptText string

// UnmarshalJSON implements json.Unmarshaler.
func (p *promptText) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		return unquote(b, (*string)(p))
	}
	var list []string
	if err := json.Unmarshal(b, &list); err != nil {
		return err
	}
	if len(list) != 1 {
		return fmt.Errorf("prompt must be one string, got a list of %d", len(list))
	}
	*p = promptText(list[0])
	return nil
}

// requestBody holds the fields of a request body that the entry uses. The engine
// receives the body itself, to which only withMaxTokens adds a field.
type requestBody struct {
	Model               string     `json:"model"`
	Adapter             string     `json:"adapter"`
	Messages            []message  `json:"messages"`
	Prompt              promptText `json:"prompt"`
	MaxTokens           *int64     `json:"max_tokens"`
	MaxCompletionTokens *int64     `json:"max_completion_tokens"`
	Stream              bool       `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	// The fields below change the format of the answer in ways that can't be
	// preserved when a stream is resumed. Requests that use them are refused.
	N         *int64          `json:"n"`
	Tools     json.RawMessage `json:"tools"`
	Functions json.RawMessage `json:"functions"`
	Logprobs  json.RawMessage `json:"logprobs"`
}

// parseBody decodes a body and refuses requests that can't be served.
func parseBody(kind request.Kind, raw []byte) (*requestBody, *request.Failure) {
	if !utf8.Valid(raw) {
		return nil, badRequest(reasonBadUTF8, "the body is not valid UTF-8")
	}
	b := new(requestBody)
	if err := json.Unmarshal(raw, b); err != nil {
		return nil, badRequest(reasonBadJSON, "the body is not a valid request: "+err.Error())
	}
	if b.Model == "" {
		return nil, badRequest(reasonBadRequest, "model is missing")
	}
	if kind == request.KindChat && len(b.Messages) == 0 {
		return nil, badRequest(reasonBadRequest, "messages is missing or empty")
	}
	if kind == request.KindCompletion && b.Prompt == "" {
		return nil, badRequest(reasonBadRequest, "prompt is missing or empty")
	}
	if f := b.checkSupported(); f != nil {
		return nil, f
	}
	return b, nil
}

func (b *requestBody) checkSupported() *request.Failure {
	switch {
	case b.N != nil && *b.N != 1:
		return badRequest(reasonUnsupported, "n must be 1")
	case isSet(b.Tools), isSet(b.Functions):
		return badRequest(reasonUnsupported, "tools and functions are not supported")
	case isSet(b.Logprobs) && string(b.Logprobs) != "false":
		return badRequest(reasonUnsupported, "logprobs is not supported")
	}
	return nil
}

func isSet(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

// maxTokens returns the output limit in tokens: the caller's, which must not
// exceed limit, or def, reduced to limit.
func (b *requestBody) maxTokens(def, limit int64) (int64, *request.Failure) {
	n := b.MaxCompletionTokens
	if n == nil {
		n = b.MaxTokens
	}
	if n == nil {
		return min(def, limit), nil
	}
	if *n < 1 {
		return 0, badRequest(reasonBadRequest, fmt.Sprintf("max_tokens must be at least 1, got %d", *n))
	}
	if *n > limit {
		return 0, badRequest(reasonBadRequest, fmt.Sprintf("max_tokens is %d, the limit is %d", *n, limit))
	}
	return *n, nil
}

// eachPart calls f with the parts of the prompt's text in order, including the
// separators.
func (b *requestBody) eachPart(f func(string)) {
	if len(b.Messages) == 0 {
		f(string(b.Prompt))
		return
	}
	for i, m := range b.Messages {
		if i > 0 {
			f("\n")
		}
		f(string(m.Content))
	}
}

// text returns the canonical prompt text: the contents joined by "\n".
func (b *requestBody) text() string {
	if len(b.Messages) == 0 {
		return string(b.Prompt)
	}
	if len(b.Messages) == 1 {
		return string(b.Messages[0].Content)
	}
	var text strings.Builder
	b.eachPart(func(s string) { text.WriteString(s) })
	return text.String()
}

func (b *requestBody) promptTokens() int64 {
	size := 0
	b.eachPart(func(s string) { size += len(s) })
	return estimateTokens(size)
}

// estimateTokens estimates the number of tokens in the given number of bytes
// of text.
func estimateTokens(bytes int) int64 {
	return int64((bytes + bytesPerToken - 1) / bytesPerToken)
}

// fingerprint identifies the content for the quarantine. It excludes sampling
// settings, since a prompt that kills an engine does so at any temperature.
func (b *requestBody) fingerprint() uint64 {
	d := xxhash.New()
	writeField(d, b.Model)
	writeField(d, b.Adapter)
	for _, m := range b.Messages {
		writeField(d, m.Role)
		writeField(d, string(m.Content))
	}
	writeField(d, string(b.Prompt))
	return d.Sum64()
}

// writeField hashes a field and a terminator, so that "ab","c" differs from
// "a","bc". Valid UTF-8 contains no 0xff byte.
func writeField(d *xxhash.Digest, s string) {
	_, _ = d.WriteString(s)
	_, _ = d.Write([]byte{0xff})
}

// prefixHashes returns the hashes that engines use for the prompt's first blocks.
func (b *requestBody) prefixHashes() []uint64 {
	return engine.AppendPrefixHashes(nil, b.leadingText(maxPrefixBlocks*engine.PrefixBlockBytes), maxPrefixBlocks)
}

// leadingText returns up to maxBytes bytes from the start of the prompt's text.
func (b *requestBody) leadingText(maxBytes int) string {
	if len(b.Messages) == 0 {
		return string(b.Prompt[:min(maxBytes, len(b.Prompt))])
	}
	if first := b.Messages[0].Content; len(first) >= maxBytes {
		return string(first[:maxBytes])
	}
	var text strings.Builder
	b.eachPart(func(s string) { text.WriteString(s[:min(len(s), maxBytes-text.Len())]) })
	return text.String()
}

// withMaxTokens appends the output limit to a valid body. As the last field it
// overrides any other spelling of the field, so that the engine's limit can't
// exceed the reserved memory. The body's buffer is reused if it has the
// capacity.
func withMaxTokens(raw []byte, n int64) []byte {
	end := bytes.LastIndexByte(raw, '}')
	return fmt.Appendf(raw[:end], `,"max_tokens":%d}`, n)
}
