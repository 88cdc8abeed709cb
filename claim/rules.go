package claim

import (
	"encoding/json"
	"maps"
	"sort"
	"time"

	"github.com/juju/errors"
)

// keyRecord is the record of one key in a shard. The JSON names are short
// because every write carries all records, deflated or not.
type keyRecord struct {
	Mark        string `json:"m"` // mark of the grant
	State       State  `json:"s"`
	UpdatedUnix int64  `json:"t"` // Unix seconds of the last change, writer's clock
	Status      int    `json:"c,omitempty"`
	Response    []byte `json:"a,omitempty"`
	Truncated   bool   `json:"x,omitempty"`
}

// prior returns the record as it is reported to callers. A claim that has been
// running for longer than any request may is Unknown: the entry that made it is
// gone.
func (e keyRecord) prior(now time.Time, runLimit time.Duration) Prior {
	p := Prior{State: e.State}
	if e.State == Running && now.Sub(time.Unix(e.UpdatedUnix, 0)) > runLimit {
		p.State = Unknown
	}
	if e.State == Done {
		p.Record = Record{Status: e.Status, Response: e.Response, Truncated: e.Truncated}
	}
	return p
}

// verdict is the result of the claim rule.
type verdict uint8

const (
	verdictGrant          verdict = iota // no claim is recorded: record this one
	verdictAlreadyGranted                // this claim is recorded: an earlier write took effect
	verdictRefuse                        // another claim is recorded
)

// decideClaim is the rule that ensures at most one grant. A claim is granted
// only if no claim is recorded. A claim that finds its own mark was granted by
// an earlier write whose response was lost.
func decideClaim(onRecord bool, running bool, sameMark bool) verdict {
	switch {
	case !onRecord:
		return verdictGrant
	case running && sameMark:
		return verdictAlreadyGranted
	}
	return verdictRefuse
}

// shard is the value of a claim shard object.
type shard struct {
	Claims map[string]keyRecord `json:"claims"`
	Sealed []sealedRef          `json:"sealed,omitempty"` // oldest first
	// Withdrawn maps withdrawn marks to the Unix seconds of their withdrawal.
	// Without them, a forwarded claim that arrives late, after its caller was
	// refused, would be recorded for a call that never runs, and the caller's
	// resend would find it Running.
	Withdrawn map[string]int64 `json:"withdrawn,omitempty"`
}

// maxWithdrawn limits the withdrawn marks in a shard; otherwise a slow store
// and many claims per second would fill the shard with them. If a mark is
// dropped too early, its key may stay Running and then Unknown, which is the
// only harm.
const maxWithdrawn = 1_000

// withdraw records a mark as withdrawn and returns how many marks it
// dropped.
func (s *shard) withdraw(mark string, now time.Time) (dropped int) {
	if s.Withdrawn == nil {
		s.Withdrawn = map[string]int64{}
	}
	s.Withdrawn[mark] = now.Unix()
	for len(s.Withdrawn) > maxWithdrawn {
		oldest := mark
		for m, at := range s.Withdrawn {
			if at < s.Withdrawn[oldest] {
				oldest = m
			}
		}
		delete(s.Withdrawn, oldest)
		dropped++
	}
	return dropped
}

func (s *shard) isWithdrawn(mark string) bool {
	_, ok := s.Withdrawn[mark]
	return ok
}

// expireWithdrawn drops marks whose forwarded claims are too old to be
// recorded.
func (s *shard) expireWithdrawn(now time.Time) {
	oldest := now.Add(-withdrawnTTL).Unix()
	maps.DeleteFunc(s.Withdrawn, func(_ string, at int64) bool { return at < oldest })
}

func decodeShard(data json.RawMessage) (*shard, error) {
	s := &shard{Claims: map[string]keyRecord{}}
	if len(data) == 0 {
		return s, nil
	}
	plain, err := decompress(data)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(plain, s); err != nil {
		return nil, errors.Annotate(err, "step decode claim shard")
	}
	if s.Claims == nil {
		s.Claims = map[string]keyRecord{}
	}
	return s, nil
}

// claim applies the claim rule and records a granted claim.
func (s *shard) claim(hash, mark string, now time.Time) verdict {
	e, ok := s.Claims[hash]
	v := decideClaim(ok, e.State == Running, e.Mark == mark)
	if v == verdictGrant {
		s.Claims[hash] = keyRecord{Mark: mark, State: Running, UpdatedUnix: now.Unix()}
	}
	return v
}

// settle records the outcome of a grant. A record with another mark, or that is
// no longer Running, stays as it is. The claim of an issued key was never
// written here, so its outcome is added.
func (s *shard) settle(hash, mark string, o Outcome, issued bool, now time.Time) {
	e, ok := s.Claims[hash]
	if ok && (e.Mark != mark || e.State != Running) {
		return
	}
	if !ok && !issued {
		return
	}
	switch o.Kind {
	case OutcomeNotRun:
		delete(s.Claims, hash)
	case OutcomeDone:
		s.Claims[hash] = keyRecord{Mark: mark, State: Done, UpdatedUnix: now.Unix(),
			Status: o.Record.Status, Response: o.Record.Response, Truncated: o.Record.Truncated}
	default:
		s.Claims[hash] = keyRecord{Mark: mark, State: Unknown, UpdatedUnix: now.Unix()}
	}
}

// dropExpiredClaims drops claims past their retention.
func (s *shard) dropExpiredClaims(now time.Time, retention time.Duration) {
	oldest := now.Add(-retention).Unix()
	for hash, e := range s.Claims {
		if e.UpdatedUnix < oldest {
			delete(s.Claims, hash)
		}
	}
}

// dropResponses drops stored responses, oldest first, until about the given
// number of bytes is freed. The record that the calls ran stays.
func (s *shard) dropResponses(bytes int) {
	hashes := make([]string, 0, len(s.Claims))
	for hash, e := range s.Claims {
		if len(e.Response) > 0 {
			hashes = append(hashes, hash)
		}
	}
	sort.Slice(hashes, func(i, j int) bool {
		a, b := s.Claims[hashes[i]], s.Claims[hashes[j]]
		if a.UpdatedUnix != b.UpdatedUnix {
			return a.UpdatedUnix < b.UpdatedUnix
		}
		return hashes[i] < hashes[j]
	})
	for _, hash := range hashes {
		if bytes <= 0 {
			return
		}
		e := s.Claims[hash]
		bytes -= len(e.Response)
		e.Response = nil
		e.Truncated = true
		s.Claims[hash] = e
	}
}
