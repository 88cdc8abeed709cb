package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// maxBodyBytes bounds a request: a million tokens and as much again for escapes.
const maxBodyBytes = 16 << 20

// defaultOutput is the number of output tokens where the caller gives none.
const defaultOutput = 16

// runBody is the body of chat completions and completions.
type runBody struct {
	Model               string        `json:"model"`
	Messages            []message     `json:"messages"`
	Prompt              *string       `json:"prompt"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	Priority            int           `json:"priority"`
	ResumeFrom          int           `json:"resume_from"`
	PriorText           string        `json:"prior_text"`
	Group               []groupMember `json:"kv_group"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string      `json:"role"`
	Content messageText `json:"content"`
}

type groupMember struct {
	Address string `json:"address"`
	Handle  string `json:"handle"`
	Tokens  int    `json:"tokens"`
}

// messageText is a message's content: a string, or a list of text parts.
type messageText string

// UnmarshalJSON implements json.Unmarshaler.
func (t *messageText) UnmarshalJSON(data []byte) error {
	if !bytes.HasPrefix(data, []byte("[")) {
		return json.Unmarshal(data, (*string)(t))
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errors.Errorf("content part of type %q is not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	*t = messageText(b.String())
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limited := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if r.ContentLength <= 0 || r.ContentLength > maxBodyBytes {
		return io.ReadAll(limited)
	}
	data := make([]byte, r.ContentLength)
	_, err := io.ReadFull(limited, data)
	return data, err
}

func parseRun(data []byte) (*runBody, error) {
	b := &runBody{}
	if err := json.Unmarshal(data, b); err != nil {
		return nil, err
	}
	if b.output() < 1 {
		return nil, errors.New("max_tokens must be at least 1")
	}
	if b.ResumeFrom < 0 {
		return nil, errors.New("resume_from must not be negative")
	}
	return b, nil
}

// output returns the number of tokens to generate.
func (b *runBody) output() int {
	switch {
	case b.MaxCompletionTokens != nil:
		return *b.MaxCompletionTokens
	case b.MaxTokens != nil:
		return *b.MaxTokens
	}
	return defaultOutput
}

// prompt returns the text that is prefilled.
func (b *runBody) prompt(chat bool) (string, error) {
	if !chat {
		if b.Prompt == nil {
			return "", errors.New("prompt is missing")
		}
		return *b.Prompt, nil
	}
	if len(b.Messages) == 0 {
		return "", errors.New("messages are missing")
	}
	if len(b.Messages) == 1 {
		return string(b.Messages[0].Content), nil
	}
	texts := make([]string, len(b.Messages))
	for i, m := range b.Messages {
		texts[i] = string(m.Content)
	}
	return strings.Join(texts, "\n"), nil
}
