// Package request is the aggregate of one caller's request: what it asks for,
// its life from arrival to the final answer, its attempts, and the assembly of
// its answer. It does no I/O.
package request

import (
	"time"
)

// Kind is what a request asks for.
type Kind uint8

// Kinds of request.
const (
	KindChat Kind = iota + 1
	KindCompletion
	KindService
)

// Class is a length class by prompt tokens.
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

// Spec is what the caller asked for. It does not change after admission.
type Spec struct {
	ID             string
	Kind           Kind
	Workspace      string
	Model          string // a pool or a model that a pool serves
	Adapter        string
	Service        string // KindService
	Method         string // KindService
	Path           string // KindService: path behind /services/NAME, with query
	Headers        map[string]string
	Body           []byte
	Stream         bool
	Idempotent     bool
	IdempotencyKey string // idempotency key; empty if none
	FirstSend      bool   // by the caller's word, nothing was sent under the key before
	Priority       int32  // of its service class; lower is sooner
	Arrived        time.Time
	Deadline       time.Time
	// PromptTokens and MaxTokens are estimates until the engine reports.
	PromptTokens int64
	MaxTokens    int64
	// Fingerprint identifies the content (xxhash64 of model, adapter and body)
	// for the quarantine; it is equal across resends.
	Fingerprint uint64
	// PrefixHashes holds rolling hashes of the prompt's blocks, for cache affinity.
	PrefixHashes []uint64
}

// Class returns the request's length class.
func (s *Spec) Class() Class { return ClassOf(s.PromptTokens) }

// FailureCode says what a failure implies about execution.
type FailureCode string

// The only two things that a failure may say.
const (
	NotRun         FailureCode = "not_run"
	OutcomeUnknown FailureCode = "outcome_unknown"
)

// HTTP statuses of refusals, for packages that do no I/O: net/http would bring
// its server and client into every program that embeds them.
const (
	StatusTooManyRequests    = 429 // RFC 6585
	StatusServiceUnavailable = 503 // RFC 9110
)

// Failure is the final answer of a request that did not finish. Its fields are
// what the caller sees.
type Failure struct {
	Code       FailureCode
	Reason     string // a stable word: draining, deadline, quota, quarantined, ...
	Message    string
	Status     int           // HTTP status
	RetryAfter time.Duration // zero if asking again is of no use
	Step       string        // where it arose
	Peer       string        // with whom
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
