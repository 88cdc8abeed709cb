package request

import (
	"github.com/briarturn/briarturn/invariant"
	"github.com/juju/errors"
)

// Errors of an Assembler.
const (
	// ErrTooFarAhead: a chunk lies further ahead than the assembler may keep.
	ErrTooFarAhead = errors.ConstError("chunk too far ahead")
	// ErrIncomplete: the answer's end came before all its chunks.
	ErrIncomplete = errors.ConstError("answer incomplete")
	// ErrOverrun: there are more chunks than the end announced.
	ErrOverrun = errors.ConstError("answer longer than announced")
)

var ivInOrder = invariant.New("request.chunks-in-order-once",
	"chunks reach the caller in order, each once")

// AssemblerLimits bounds what an Assembler keeps of chunks that came early.
type AssemblerLimits struct {
	Chunks int // how many
	Bytes  int // how much in all
}

// DefaultAssemblerLimits holds a second of a fast stream.
var DefaultAssemblerLimits = AssemblerLimits{Chunks: 256, Bytes: 1 << 20}

// AssemblerCounts tells what an Assembler met.
type AssemblerCounts struct {
	Delivered uint64 // chunks passed to the caller
	Duplicate uint64 // dropped: already given or already kept
	Stale     uint64 // dropped: of an attempt that has been given up
	Buffered  uint64 // kept until their turn
}

// Assembler puts the numbered chunks of one answer in order and passes each to
// the caller once, whatever attempt it came from. It isn't safe for concurrent
// use: one goroutine relays an answer.
type Assembler struct {
	limits  AssemblerLimits
	attempt uint32
	next    uint64
	early   map[uint64][]byte
	bytes   int
	counts  AssemblerCounts
}

// NewAssembler returns an Assembler for one answer.
func NewAssembler(limits AssemblerLimits) *Assembler {
	return &Assembler{limits: limits}
}

// NextSequence returns the number of the chunk that the caller needs next, which is
// also how many it has.
func (a *Assembler) NextSequence() uint64 { return a.next }

// Counts returns what has been met so far.
func (a *Assembler) Counts() AssemblerCounts { return a.counts }

// StartAttempt makes attempt the one whose chunks count. Chunks kept from an earlier
// attempt are dropped: another engine's wording may differ behind the point up
// to which the caller has the answer.
func (a *Assembler) StartAttempt(attempt uint32) {
	a.attempt = attempt
	clear(a.early)
	a.bytes = 0
}

// Offer takes one chunk. It calls emit, in order, for each chunk whose turn has
// come. Chunks of other attempts and doubled ones are counted and dropped. It
// returns ErrTooFarAhead if the chunk is too far ahead to keep, and emit's error.
func (a *Assembler) Offer(attempt uint32, sequence uint64, data []byte, emit func([]byte) error) error {
	if attempt != a.attempt {
		a.counts.Stale++
		return nil
	}
	if sequence < a.next {
		a.counts.Duplicate++
		return nil
	}
	if sequence > a.next {
		return a.keep(sequence, data)
	}
	if err := a.give(sequence, data, emit); err != nil {
		return err
	}
	return a.giveKept(emit)
}

// CheckComplete checks that the answer is whole, given the total its end announced.
func (a *Assembler) CheckComplete(total uint64) error {
	if a.next < total {
		return errors.Annotatef(ErrIncomplete, "%d of %d chunks", a.next, total)
	}
	if a.next > total || len(a.early) > 0 {
		return errors.Annotatef(ErrOverrun, "%d given, %d kept, %d announced", a.next, len(a.early), total)
	}
	return nil
}

// keep stores an early chunk. data is copied, since the caller's buffer is
// reused for the next message.
func (a *Assembler) keep(sequence uint64, data []byte) error {
	if _, ok := a.early[sequence]; ok {
		a.counts.Duplicate++
		return nil
	}
	if len(a.early) >= a.limits.Chunks || a.bytes+len(data) > a.limits.Bytes {
		return errors.Annotatef(ErrTooFarAhead, "chunk %d while %d is due", sequence, a.next)
	}
	if a.early == nil {
		a.early = make(map[uint64][]byte)
	}
	a.early[sequence] = append([]byte(nil), data...)
	a.bytes += len(data)
	a.counts.Buffered++
	return nil
}

func (a *Assembler) giveKept(emit func([]byte) error) error {
	for len(a.early) > 0 {
		data, ok := a.early[a.next]
		if !ok {
			return nil
		}
		delete(a.early, a.next)
		a.bytes -= len(data)
		if err := a.give(a.next, data, emit); err != nil {
			return err
		}
	}
	return nil
}

func (a *Assembler) give(sequence uint64, data []byte, emit func([]byte) error) error {
	ivInOrder.Check(sequence == a.next, "chunk %d given while %d is due", sequence, a.next)
	// Counted as given before emit: if emit fails half-way, the caller may have
	// part of this chunk, and sending it again would give bytes twice.
	a.next++
	a.counts.Delivered++
	return emit(data)
}
