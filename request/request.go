// Package request models one caller's request: its content, its life cycle from
// arrival to the final answer, the retry decision after each attempt, and the
// assembly of its answer. It does no I/O.
package request

import (
	"time"
)

// Kind is the type of a request.
type Kind uint8

// Kinds of request.
const (
	KindChat Kind = iota + 1
	KindCompletion
	KindService
)

// Class is the length class of a request, by the number of its prompt tokens.
type Class uint8

// Length classes. The upper bounds are 4k, 32k and 100k tokens.
const (
	ClassShort  Class = iota // under 4k
	ClassMedium              // 4k to 32k
	ClassLarge               // 32k to 100k
	ClassHuge                // over 100k
	ClassCount
)

// Bounds of the length classes, in prompt tokens.
const (
	MediumTokens = 4_000
	LargeTokens  = 32_000
	HugeTokens   = 100_000
)

// ClassOf returns the length class of a prompt.
func ClassOf(promptTokens int64) Class {
	switch {
	case promptTokens < MediumTokens:
		return ClassShort
	case promptTokens < LargeTokens:
		return ClassMedium
	case promptTokens < HugeTokens:
		return ClassLarge
	}
	return ClassHuge
}

// Name returns the class's range as reports print it.
func (c Class) Name() string {
	switch c {
	case ClassShort:
		return "1k-4k"
	case ClassMedium:
		return "4k-32k"
	case ClassLarge:
		return "32k-100k"
	case ClassHuge:
		return "100k-1M"
	}
	return "unknown"
}

// Spec is a parsed request. It does not change after admission.
type Spec struct {
	ID             string
	Kind           Kind
	Workspace      string
	Model          string // a pool or a model that a pool serves
	Adapter        string
	Service        string // KindService
	Method         string // KindService
	Path           string // KindService: path after /services/NAME, with query
	Headers        map[string]string
	Body           []byte
	Stream         bool
	Idempotent     bool
	IdempotencyKey string // idempotency key; empty if none
	FirstSend      bool   // the caller states that nothing was sent under the key before
	Priority       int32  // of its service class; lower values are served first
	Arrived        time.Time
	Deadline       time.Time
	// PromptTokens and MaxTokens are estimates until the engine reports the counts.
	PromptTokens int64
	MaxTokens    int64
	// Fingerprint identifies the content (xxhash64 of model, adapter and body) for
	// the quarantine. A resent request has the same fingerprint.
	Fingerprint uint64
	// PrefixHashes are rolling hashes of the prompt's blocks, used for cache affinity.
	PrefixHashes []uint64
}

// Class returns the request's length class.
func (s *Spec) Class() Class { return ClassOf(s.PromptTokens) }

// FailureCode states whether a failed request may have been executed.
type FailureCode string

// The failure codes. There are no others.
const (
	NotRun         FailureCode = "not_run"
	OutcomeUnknown FailureCode = "outcome_unknown"
)

// HTTP status codes of refusals, for packages that do no I/O: importing net/http
// would link its server and client into every program that embeds them.
const (
	StatusTooManyRequests    = 429 // RFC 6585
	StatusServiceUnavailable = 503 // RFC 9110
)

// Failure is the final answer of a request that did not finish. Its fields are
// returned to the caller.
type Failure struct {
	Code       FailureCode
	Reason     string // stable identifier: draining, deadline, quota, quarantined, ...
	Message    string
	Status     int           // HTTP status
	RetryAfter time.Duration // zero if retrying doesn't help
	Step       string        // processing step that failed
	Peer       string        // other side of that step
}

// Error implements error.
func (f *Failure) Error() string {
	s := string(f.Code) + ": " + f.Reason
	if f.Message != "" {
		s += ": " + f.Message
	}
	if f.Step != "" {
		s += " (step " + f.Step
		if f.Peer != "" {
			s += ", peer " + f.Peer
		}
		s += ")"
	}
	return s
}
