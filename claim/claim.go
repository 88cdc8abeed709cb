package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Kind is the object kind of claim shards in the object API.
const Kind = "ClaimShard"

// Errors of a claim. Test them with errors.Is. After each of them the call was
// not dispatched and must not be.
const (
	// ErrNotRun: nothing had run under the key when it was checked after the
	// call came in, and nothing will run on behalf of this call. Reported as
	// "not run".
	ErrNotRun = errors.ConstError("claim not made, call not run")
	// ErrUnverified: this call was not dispatched, but it can't be determined
	// now whether an earlier call under the same key was. Reported as "outcome
	// unknown"; the same key may be sent again.
	ErrUnverified = errors.ConstError("claim not made, earlier calls unknown")
	// ErrBadKey: the key has the form of an issued key but was not issued, or
	// belongs to another workspace. Reported as "not run" for this call.
	ErrBadKey = errors.ConstError("idempotency key not issued")
	// ErrAlreadySettled: the grant was settled before.
	ErrAlreadySettled = errors.ConstError("grant already settled")
)

// Key identifies one non-idempotent call, however often it is sent.
type Key struct {
	Workspace      string
	IdempotencyKey string
}

// hashBytes is how many bytes of the SHA-256 sum identify a key in a shard.
const hashBytes = 16

// hash returns the key's name in a shard: 128 bits of SHA-256, so that callers
// can't create collisions and long keys take no extra space.
func (k Key) hash() string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(k.Workspace)) + ":" + k.Workspace + k.IdempotencyKey))
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}

// Request is one send of a call.
type Request struct {
	ID string // request ID, for logs
	// FirstSend is the caller's statement that no earlier call was sent under
	// this key. It only turns ErrUnverified into ErrNotRun; it never permits a
	// run.
	FirstSend bool
}

// State is the recorded state of a key.
type State uint8

// States of a key.
const (
	Running State = iota + 1 // granted, no outcome recorded yet
	Done                     // ran; Record holds the response
	Unknown                  // may have run; it will not run again
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Done:
		return "done"
	case Unknown:
		return "unknown"
	}
	return "none"
}

// Record is the response stored for resends.
type Record struct {
	Status    int    // HTTP status
	Response  []byte // nil if longer than Config.MaxResponseBytes, or dropped to free space
	Truncated bool   // there was an response, but it is not stored
}

// Prior is the recorded result of an earlier call under the key.
type Prior struct {
	State  State
	Record Record // set only if State is Done
}

// Grant is the result of a claim. If Fresh is set, the call may be dispatched
// exactly once and is then settled. Otherwise Prior holds the recorded result
// of an earlier call.
type Grant struct {
	Fresh bool
	Prior Prior
	token *token
}

// OutcomeKind is how a dispatched call ended.
type OutcomeKind uint8

// Kinds of outcome.
const (
	OutcomeDone    OutcomeKind = iota + 1 // ran; Record is its response
	OutcomeNotRun                         // certainly did not run; the key may be claimed again
	OutcomeUnknown                        // dispatched, but no response received
)

// Outcome is the end of a dispatched call, as recorded by Settle.
type Outcome struct {
	Kind   OutcomeKind
	Record Record
}

// Issuer identifies one incarnation of an entry.
type Issuer struct {
	Entry       string
	Incarnation string // unique to each start of the entry
}

const (
	issuedPrefix = "bt1/"
	issuedParts  = 4
	serialBase   = 36
)

// issuedKey formats an issued key.
func issuedKey(by Issuer, serial uint64) string {
	return issuedPrefix + by.Entry + "/" + by.Incarnation + "/" + strconv.FormatUint(serial, serialBase)
}

// IssuedBy returns the issuer of a key, and false if it is a caller's own key.
func IssuedBy(idempotencyKey string) (Issuer, bool) {
	by, _, err := parseIssued(idempotencyKey)
	return by, err == nil
}

// parseIssued accepts only text in the form that issuedKey produces, so that
// each serial has exactly one spelling.
func parseIssued(text string) (Issuer, uint64, error) {
	parts := strings.Split(text, "/")
	if len(parts) != issuedParts {
		return Issuer{}, 0, ErrBadKey
	}
	by := Issuer{Entry: parts[1], Incarnation: parts[2]}
	serial, err := strconv.ParseUint(parts[3], serialBase, 64)
	if err != nil || issuedKey(by, serial) != text {
		return Issuer{}, 0, ErrBadKey
	}
	return by, serial, nil
}
