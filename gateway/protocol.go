package gateway

import (
	"net/http"
	"time"
)

// RequestInfo is what a caller says of a request in its headers.
type RequestInfo struct {
	ID          string        // of this attempt of the caller; an answer carries it
	Timeout     time.Duration // how long the caller waits; 0: not said
	APIKey      string        // API key
	LastEventID string        // the stream goes on behind this event; empty: from its start
	Prompt      Prompt        // zero for a request without one
}

// Prompt is the size of a prompt.
type Prompt struct {
	InputTokens     int
	MaxOutputTokens int // at most
}

// AttemptInfo is what one attempt adds to the caller's headers.
type AttemptInfo struct {
	Timeout       time.Duration // what is left of the caller's time
	Instance      string        // the only instance that may run it
	Workspace     string        // empty: none
	LastEventID   string
	Helpers       []Helper // servers that read parts of the prompt
	QueuePriority int      // 0 is first; negative: not said
}

// Helper is a server that reads a part of a prompt for another one.
type Helper struct {
	Address       string
	ReservationID string // reservation that holds the part; empty: none
}

// ResponseInfo is what an answer's head says of the request, beside its status.
type ResponseInfo struct {
	ID     string // of the request it answers; empty: not said
	NotRun bool   // the server promises that the request has not run and will not
	// AtFault is the server that a refusal comes from, as the answering one names it:
	// a helper may be what refused. Empty: not said.
	AtFault string
}

// Protocol translates between headers and the gateway's types.
type Protocol interface {
	// DecodeRequest reads a caller's headers. An error means that the request is
	// malformed.
	DecodeRequest(h http.Header) (RequestInfo, error)
	// EncodeAttempt turns the end-to-end headers of a caller into those of an attempt,
	// in place: what only the system may say is replaced or removed.
	EncodeAttempt(h http.Header, a AttemptInfo)
	// DecodeResponse reads the head of a server's answer.
	DecodeResponse(status int, h http.Header) ResponseInfo
}
