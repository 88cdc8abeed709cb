package engine

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/briarturn/briarturn/invariant"
	"github.com/juju/errors"
)

// Why a sequence was refused before it ran.
const (
	errNeverFits = errors.ConstError("needs more memory than the engine has")
	errQueueFull = errors.ConstError("queue is full")
)

var memoryBound = invariant.New("standin_engine_memory",
	"a stand-in engine never uses more KV memory than it has")

// sequence is one run in the engine. Its plain fields are guarded by the
// scheduler's owner; generated and state are read by the response writer.
type sequence struct {
	id       string
	priority int
	arrival  uint64
	prompt   int      // tokens of KV that this engine holds for the prompt
	output   int      // tokens to generate; 0 for an exported segment
	prefix   []uint64 // block hashes for the prefix cache
	home     *scheduler

	left      int // tokens still to prefill
	kv        int // tokens of memory taken
	share     int // prefill tokens in the step under way
	decodes   bool
	cached    int
	admitted  bool
	prefillAt time.Duration // busy time spent in steps that prefilled it

	generated atomic.Int64
	ended     atomic.Int32 // endNone, endDone, endCancelled, endDied
	signal    chan struct{}
}

// How a sequence ended.
const (
	endNone int32 = iota
	endDone
	endCancelled
	endDied
)

func newSequence(id string, priority, prompt, output int) *sequence {
	return &sequence{id: id, priority: priority, prompt: prompt, output: output,
		left: prompt, signal: make(chan struct{}, 1)}
}

// wake tells the response writer that there is something to write.
func (s *sequence) wake() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

func (s *sequence) end(how int32) {
	s.ended.CompareAndSwap(endNone, how)
	s.wake()
}

func before(a, b *sequence) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	if a.arrival < b.arrival {
		return -1
	}
	return 1
}

// scheduler is the step function of the engine. It knows no clock: begin says
// what the next step costs, finish applies it. It is not safe for concurrent use.
type scheduler struct {
	cfg      Config
	slow     float64
	arrivals uint64
	waiting  []*sequence // ordered
	running  []*sequence // ordered
	used     int         // memory of running sequences and exported segments
	peak     int
	tokens   int64 // generated
	prefills int64 // prefilled
	lookup   func(prefix []uint64) int
	store    func(prefix []uint64)
}

func newScheduler(cfg Config) *scheduler {
	return &scheduler{cfg: cfg, slow: 1,
		lookup: func([]uint64) int { return 0 }, store: func([]uint64) {}}
}

// submit queues a sequence or says why it can't run.
func (s *scheduler) submit(q *sequence) error {
	if q.prompt+q.output > s.cfg.MemoryTokens {
		return errNeverFits
	}
	if len(s.waiting) >= s.cfg.MaxQueue {
		return errQueueFull
	}
	q.home = s
	s.arrivals++
	q.arrival = s.arrivals
	s.waiting = insert(s.waiting, q)
	return nil
}

func insert(list []*sequence, q *sequence) []*sequence {
	at, _ := slices.BinarySearchFunc(list, q, before)
	return slices.Insert(list, at, q)
}

// remove takes a sequence out, wherever it is, and frees its memory.
func (s *scheduler) remove(q *sequence) bool {
	same := func(o *sequence) bool { return o == q }
	if i := slices.IndexFunc(s.waiting, same); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return true
	}
	i := slices.IndexFunc(s.running, same)
	if i < 0 {
		return false
	}
	s.running = slices.Delete(s.running, i, i+1)
	s.release(q.kv)
	q.kv = 0
	return true
}

func (s *scheduler) take(tokens int) {
	s.used += tokens
	s.checkMemory()
}

func (s *scheduler) checkMemory() {
	s.peak = max(s.peak, s.used)
	memoryBound.Check(s.used <= s.cfg.MemoryTokens, "used %d of %d", s.used, s.cfg.MemoryTokens)
}

func (s *scheduler) release(tokens int) {
	s.used -= tokens
	memoryBound.Check(s.used >= 0, "used %d", s.used)
}

// begin admits what fits and plans one step. It returns the step's cost, or
// false if there is nothing to do.
func (s *scheduler) begin() (time.Duration, bool) {
	s.admit()
	s.growOutput()
	prefill := s.sharePrefill()
	decoding := s.countDecoding()
	if prefill == 0 && decoding == 0 {
		return 0, false
	}
	return s.cost(prefill, decoding), true
}

func (s *scheduler) cost(prefill, decoding int) time.Duration {
	d := time.Duration(float64(prefill) / s.cfg.PrefillRate * float64(time.Second))
	if decoding > 0 {
		d += s.cfg.DecodeBase + time.Duration(decoding)*s.cfg.DecodePerSequence
	}
	return time.Duration(float64(d) * s.slow)
}

// admit moves sequences into the batch in order, while memory lasts. It stops at
// the first that doesn't fit: passing it over would starve long prompts.
func (s *scheduler) admit() {
	for len(s.waiting) > 0 && len(s.running) < s.cfg.MaxBatch {
		q := s.waiting[0]
		need := q.prompt + int(q.generated.Load())
		if s.used+need+min(1, q.output) > s.cfg.MemoryTokens {
			return
		}
		s.waiting = s.waiting[1:]
		s.running = insert(s.running, q)
		q.kv = need
		s.take(need)
		q.left = need
		if !q.admitted && len(q.prefix) > 0 {
			q.cached = min(s.lookup(q.prefix), q.prompt-1)
			q.left -= q.cached
		}
		q.admitted = true
	}
}

// growOutput takes the memory of the token that each decoding sequence will
// generate, and takes sequences out of the batch, last first, if it lacks.
func (s *scheduler) growOutput() {
	defer s.checkMemory()
	for i := 0; i < len(s.running); i++ {
		q := s.running[i]
		q.decodes = q.left == 0
		for q.decodes && s.used >= s.cfg.MemoryTokens {
			last := s.running[len(s.running)-1]
			s.preempt(last)
			if last == q {
				return
			}
		}
		if q.decodes {
			s.used++
			q.kv++
		}
	}
}

// preempt gives up a sequence's memory; it waits and is prefilled again.
func (s *scheduler) preempt(q *sequence) {
	s.running = s.running[:len(s.running)-1]
	s.release(q.kv)
	q.kv, q.share, q.decodes = 0, 0, false
	s.waiting = insert(s.waiting, q)
}

func (s *scheduler) sharePrefill() int {
	budget := s.cfg.ChunkTokens
	for _, q := range s.running {
		q.share = min(q.left, budget)
		budget -= q.share
	}
	return s.cfg.ChunkTokens - budget
}

func (s *scheduler) countDecoding() int {
	n := 0
	for _, q := range s.running {
		if q.decodes {
			n++
		}
	}
	return n
}

// finish applies the step that begin planned and returns the sequences that are
// complete; those with output 0 keep their memory.
func (s *scheduler) finish(cost time.Duration) []*sequence {
	var done []*sequence
	kept := s.running[:0]
	for _, q := range s.running {
		s.advance(q, cost)
		if q.left == 0 && q.complete() {
			done = append(done, q)
			continue
		}
		kept = append(kept, q)
	}
	clear(s.running[len(kept):])
	s.running = kept
	for _, q := range done {
		s.retire(q)
	}
	return done
}

func (s *sequence) complete() bool {
	return int(s.generated.Load()) >= s.output
}

// retire frees the memory of a complete sequence, save an exported segment's.
func (s *scheduler) retire(q *sequence) {
	if q.output > 0 {
		s.release(q.kv)
		q.kv = 0
	}
	q.end(endDone)
}

func (s *scheduler) advance(q *sequence, cost time.Duration) {
	if q.share > 0 {
		q.left -= q.share
		s.prefills += int64(q.share)
		q.share = 0
		q.prefillAt += cost
		if q.left == 0 {
			s.store(q.prefix)
		}
		return
	}
	if !q.decodes {
		return
	}
	q.decodes = false
	n := int(q.generated.Add(1))
	s.tokens++
	if n%s.cfg.AnswerTokensPerChunk == 0 {
		q.wake()
	}
}
