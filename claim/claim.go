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

// Errors of a claim. Test with errors.Is. With each of them the call was not
// dispatched and must not be.
const (
	// ErrNotRun: nothing has run under the key, as seen after the call came in,
	// and nothing will on behalf of this call. A true "not run".
	ErrNotRun = errors.ConstError("claim not made, call not run")
	// ErrUnverified: this call was not dispatched, but whether an earlier one
	// under the same key was can't be told now. An "outcome unknown"; the same
	// key may be sent again.
	ErrUnverified = errors.ConstError("claim not made, earlier calls unknown")
	// ErrBadKey: the key looks issued by an entry and was not, or belongs to
	// another workspace. A true "not run" of this call.
	ErrBadKey = errors.ConstError("idempotency key not issued")
	// ErrAlreadySettled: the grant was settled before.
	ErrAlreadySettled = errors.ConstError("grant already settled")
)

// Key names one non-idempotent call, whatever the number of its sends.
type Key struct {
	Workspace      string
	IdempotencyKey string
}

// hashBytes of SHA-256 name a key in a shard.
const hashBytes = 16

// hash is the key's name in a shard: 128 bits of SHA-256, so that callers can't
// make two keys meet and long keys cost no space.
func (k Key) hash() string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(k.Workspace)) + ":" + k.Workspace + k.IdempotencyKey))
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}

// Request is one send of a call.
type Request struct {
	ID string // request ID, for logs
	// FirstSend is the caller's word that no earlier call was sent under this key.
	// It only turns ErrUnverified into ErrNotRun; it never admits a run.
	FirstSend bool
}

// State is what is on record of a key.
type State uint8

// States of a key.
const (
	Running State = iota + 1 // granted, and no outcome on record yet
	Done                     // ran; the record tells the answer
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

// Record is the answer kept for resends.
type Record struct {
	Status    int    // HTTP status
	Response  []byte // nil if it was over Config.MaxResponseBytes, or dropped for space
	Truncated bool   // there was an answer and it is not kept
}

// Prior is what an earlier call under the key left.
type Prior struct {
	State  State
	Record Record // meaningful when Done
}

// Grant is the answer to a claim: either Fresh, and the call may be dispatched
// exactly once and is then settled, or Prior tells what is on record.
type Grant struct {
	Fresh bool
	Prior Prior
	token *token
}

// OutcomeKind is how a dispatched call ended.
type OutcomeKind uint8

// Kinds of outcome.
const (
	OutcomeDone    OutcomeKind = iota + 1 // ran; Record is its answer
	OutcomeNotRun                         // certainly did not run: the key is free again
	OutcomeUnknown                        // dispatched, and no answer came
)

// Outcome settles a grant.
type Outcome struct {
	Kind   OutcomeKind
	Record Record
}

// Issuer names one incarnation of an entry.
type Issuer struct {
	Entry       string
	Incarnation string // never used twice
}

const (
	issuedPrefix = "bt1/"
	issuedParts  = 4
	serialBase   = 36
)

// issuedKey is the text of an issued key.
func issuedKey(by Issuer, serial uint64) string {
	return issuedPrefix + by.Entry + "/" + by.Incarnation + "/" + strconv.FormatUint(serial, serialBase)
}

// IssuedBy returns who issued a key, and false if it is a caller's own key.
func IssuedBy(idempotencyKey string) (Issuer, bool) {
	by, _, err := parseIssued(idempotencyKey)
	return by, err == nil
}

// parseIssued takes only the text that issuedKey makes, so that one serial has
// one spelling.
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
