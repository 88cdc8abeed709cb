package gateway

import (
	"net/http"
	"time"
)

// RequestInfo is what the headers of a caller's request state.
type RequestInfo struct {
	ID          string        // of the caller's attempt; the response carries it
	Timeout     time.Duration // how long the caller waits; 0 if not given
	APIKey      string
	LastEventID string // the stream resumes after this event; empty: from its start
	Prompt      Prompt // zero if the request has none
}

// Prompt describes a prompt. Sizes are in tokens.
type Prompt struct {
	InputTokens     int
	MaxOutputTokens int // limit of the response
	Model           string
	// SharedParts identifies the parts of the prompt that other requests may have, too, in
	// order.
	SharedParts []uint64
}

// AttemptInfo is what one attempt adds to the caller's headers.
type AttemptInfo struct {
	Timeout       time.Duration // time left until the request's deadline
	Instance      string        // the only instance that may run the attempt
	Workspace     string        // empty if none
	LastEventID   string
	Helpers       []Helper // servers that read parts of the prompt
	QueuePriority int      // 0 is the highest; negative: not sent
}

// Helper is a server that reads a part of a prompt for another server.
type Helper struct {
	Address       string
	ReservationID string // memory reservation for the part; empty if none
}

// ResponseInfo is what the head of a response states about the request, besides the
// status.
type ResponseInfo struct {
	ID     string // of the request that it answers; empty if not given
	NotRun bool   // the server guarantees that the request has not run and will not run
	// AtFault is the server that caused a refusal, as the answering server names it,
	// because a helper may have refused. It is empty if not given.
	AtFault string
	// RateLimit is the number of requests per second that the server takes from all entries
	// together, as long as its responses say so; 0 if it names none.
	RateLimit float64
	// Draining means that the server shuts down and takes no new requests.
	Draining bool
	// BackOff is how long the server, which refused the request as overloaded, wants no
	// requests from this entry; 0 if it names no time.
	BackOff time.Duration
	// OtherInstance means that another instance than the expected one responded, so that
	// nothing in the response is about the expected one.
	OtherInstance bool
}

// Protocol translates between HTTP headers and the gateway's types.
type Protocol interface {
	// DecodeRequest reads a caller's headers. An error means that the request is
	// malformed.
	DecodeRequest(h http.Header) (RequestInfo, error)
	// EncodeAttempt converts the end-to-end headers of a caller into those of an attempt,
	// in place. It replaces or removes headers that only the system may set.
	EncodeAttempt(h http.Header, a AttemptInfo)
	// DecodeResponse reads the head of a server's response.
	DecodeResponse(status int, h http.Header) ResponseInfo
}
