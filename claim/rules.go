package claim

import (
	"encoding/json"
	"maps"
	"sort"
	"time"

	"github.com/juju/errors"
)

// entry is what a shard records of one key. The names are short because every
// write carries all of them, deflated or not.
type entry struct {
	Mark      string `json:"m"` // of the grant
	State     State  `json:"s"`
	At        int64  `json:"t"` // Unix seconds of the last change, writer's clock
	Status    int    `json:"c,omitempty"`
	Answer    []byte `json:"a,omitempty"`
	Truncated bool   `json:"x,omitempty"`
}

// prior is the entry as a caller sees it. A claim that has been running for
// longer than any request may is unknown: whoever made it is gone.
func (e entry) prior(now time.Time, runLimit time.Duration) Prior {
	p := Prior{State: e.State}
	if e.State == Running && now.Sub(time.Unix(e.At, 0)) > runLimit {
		p.State = Unknown
	}
	if e.State == Done {
		p.Record = Record{Status: e.Status, Response: e.Answer, Truncated: e.Truncated}
	}
	return p
}

// verdict of the claim rule.
type verdict uint8

const (
	grant   verdict = iota // no claim on record: record this one
	granted                // this very claim is on record: an earlier write landed
	refuse                 // another claim is on record
)

// decide is the rule that everything rests on. A claim is granted only where no
// claim is on record, and one that finds its own mark was granted by a write
// whose answer was lost.
func decide(onRecord bool, running bool, sameMark bool) verdict {
	switch {
	case !onRecord:
		return grant
	case running && sameMark:
		return granted
	}
	return refuse
}

// shard is the value of a claim shard.
type shard struct {
	Claims map[string]entry `json:"claims"`
	Sealed []sealedRef      `json:"sealed,omitempty"` // oldest first
	// Withdrawn marks, with the Unix seconds. Without them a forwarded claim that
	// comes late, after its caller was refused, would stand for a call that nobody
	// will run, and the caller's resend would find it running.
	Withdrawn map[string]int64 `json:"withdrawn,omitempty"`
}

// maxWithdrawn bounds the marks in a shard: a slow store at many claims a second
// would else fill it with them. A mark that is dropped too early can only cost
// its key, which then stays at running and unknown.
const maxWithdrawn = 1_000

// withdraw returns how many marks had to be dropped.
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

// expireWithdrawn drops marks whose forwarded claims are too old to be recorded.
func (s *shard) expireWithdrawn(now time.Time) {
	oldest := now.Add(-withdrawnLife).Unix()
	maps.DeleteFunc(s.Withdrawn, func(_ string, at int64) bool { return at < oldest })
}

func decodeShard(data json.RawMessage) (*shard, error) {
	s := &shard{Claims: map[string]entry{}}
	if len(data) == 0 {
		return s, nil
	}
	plain, err := unpack(data)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(plain, s); err != nil {
		return nil, errors.Annotate(err, "step decode claim shard")
	}
	if s.Claims == nil {
		s.Claims = map[string]entry{}
	}
	return s, nil
}

// claim applies the rule and records a granted claim.
func (s *shard) claim(hash, mark string, now time.Time) verdict {
	e, ok := s.Claims[hash]
	v := decide(ok, e.State == Running, e.Mark == mark)
	if v == grant {
		s.Claims[hash] = entry{Mark: mark, State: Running, At: now.Unix()}
	}
	return v
}

// settle records the outcome of a grant. A record that is no longer this
// grant's stays as it is. An issued key's claim was never written here, so its
// outcome is added.
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
		s.Claims[hash] = entry{Mark: mark, State: Done, At: now.Unix(),
			Status: o.Record.Status, Answer: o.Record.Response, Truncated: o.Record.Truncated}
	default:
		s.Claims[hash] = entry{Mark: mark, State: Unknown, At: now.Unix()}
	}
}

// expire drops what is past its retention.
func (s *shard) expire(now time.Time, retention time.Duration) {
	oldest := now.Add(-retention).Unix()
	for hash, e := range s.Claims {
		if e.At < oldest {
			delete(s.Claims, hash)
		}
	}
}

// dropAnswers forgets the answers, oldest first, until about bytes are freed.
// That the calls ran stays on record.
func (s *shard) dropAnswers(bytes int) {
	hashes := make([]string, 0, len(s.Claims))
	for hash, e := range s.Claims {
		if len(e.Answer) > 0 {
			hashes = append(hashes, hash)
		}
	}
	sort.Slice(hashes, func(i, j int) bool {
		a, b := s.Claims[hashes[i]], s.Claims[hashes[j]]
		if a.At != b.At {
			return a.At < b.At
		}
		return hashes[i] < hashes[j]
	})
	for _, hash := range hashes {
		if bytes <= 0 {
			return
		}
		e := s.Claims[hash]
		bytes -= len(e.Answer)
		e.Answer = nil
		e.Truncated = true
		s.Claims[hash] = e
	}
}
