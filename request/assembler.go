package request

import (
	"github.com/briarturn/briarturn/invariant"
	"github.com/juju/errors"
)

// Errors of an Assembler.
const (
	// ErrTooFarAhead means that an early chunk exceeds the buffer limits.
	ErrTooFarAhead = errors.ConstError("chunk too far ahead")
	// ErrIncomplete means that the answer ended before all its chunks arrived.
	ErrIncomplete = errors.ConstError("answer incomplete")
	// ErrOverrun means that there are more chunks than the end announced.
	ErrOverrun = errors.ConstError("answer longer than announced")
)

var invariantChunkOrder = invariant.New("request.chunks-in-order-once",
	"chunks reach the caller in order, each once")

// AssemblerLimits limits the early chunks that an Assembler buffers.
type AssemblerLimits struct {
	Chunks int // maximum number of buffered chunks
	Bytes  int // maximum total size of buffered chunks
}

// DefaultAssemblerLimits has room for one second of a fast stream.
var DefaultAssemblerLimits = AssemblerLimits{Chunks: 256, Bytes: 1 << 20}

// AssemblerCounts counts the chunks that an Assembler received, by what became of them.
type AssemblerCounts struct {
	Delivered uint64 // chunks passed to the caller
	Duplicate uint64 // dropped: already delivered or already buffered
	Stale     uint64 // dropped: of an attempt other than the current one
	Buffered  uint64 // arrived early and buffered
}

// Assembler puts the numbered chunks of one answer in order and delivers each to
// the caller once, across all attempts. It isn't safe for concurrent use: one
// goroutine relays an answer.
type Assembler struct {
	limits        AssemblerLimits
	attempt       uint32
	next          uint64
	buffered      map[uint64][]byte
	bufferedBytes int
	counts        AssemblerCounts
}

// NewAssembler returns an Assembler for one answer.
func NewAssembler(limits AssemblerLimits) *Assembler {
	return &Assembler{limits: limits}
}

// NextSequence returns the sequence number of the next chunk to deliver, which is
// also the number of chunks delivered.
func (a *Assembler) NextSequence() uint64 { return a.next }

// Counts returns the counts so far.
func (a *Assembler) Counts() AssemblerCounts { return a.counts }

// StartAttempt makes attempt the current one; chunks of other attempts are dropped
// from then on. Chunks buffered from an earlier attempt are dropped too, because
// another engine may continue the answer with different text.
func (a *Assembler) StartAttempt(attempt uint32) {
	a.attempt = attempt
	clear(a.buffered)
	a.bufferedBytes = 0
}

// Offer adds one chunk and calls emit, in order, for each chunk that can now be
// delivered. Chunks of other attempts and duplicates are counted and dropped. It
// returns ErrTooFarAhead if the chunk doesn't fit into the buffer, or emit's error.
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
		return a.buffer(sequence, data)
	}
	if err := a.deliver(sequence, data, emit); err != nil {
		return err
	}
	return a.deliverBuffered(emit)
}

// CheckComplete returns an error unless exactly total chunks, the number announced
// by the answer's end, were delivered.
func (a *Assembler) CheckComplete(total uint64) error {
	if a.next < total {
		return errors.Annotatef(ErrIncomplete, "%d of %d chunks", a.next, total)
	}
	if a.next > total || len(a.buffered) > 0 {
		return errors.Annotatef(ErrOverrun, "%d given, %d kept, %d announced", a.next, len(a.buffered), total)
	}
	return nil
}

// buffer stores an early chunk. It copies data, because the caller reuses its
// buffer for the next message.
func (a *Assembler) buffer(sequence uint64, data []byte) error {
	if _, ok := a.buffered[sequence]; ok {
		a.counts.Duplicate++
		return nil
	}
	if len(a.buffered) >= a.limits.Chunks || a.bufferedBytes+len(data) > a.limits.Bytes {
		return errors.Annotatef(ErrTooFarAhead, "chunk %d while %d is due", sequence, a.next)
	}
	if a.buffered == nil {
		a.buffered = make(map[uint64][]byte)
	}
	a.buffered[sequence] = append([]byte(nil), data...)
	a.bufferedBytes += len(data)
	a.counts.Buffered++
	return nil
}

// deliverBuffered delivers the buffered chunks that follow without a gap.
func (a *Assembler) deliverBuffered(emit func([]byte) error) error {
	for len(a.buffered) > 0 {
		data, ok := a.buffered[a.next]
		if !ok {
			return nil
		}
		delete(a.buffered, a.next)
		a.bufferedBytes -= len(data)
		if err := a.deliver(a.next, data, emit); err != nil {
			return err
		}
	}
	return nil
}

func (a *Assembler) deliver(sequence uint64, data []byte, emit func([]byte) error) error {
	invariantChunkOrder.Check(sequence == a.next, "delivered chunk %d, next is %d", sequence, a.next)
	// The chunk counts as delivered before emit: if emit fails halfway, the caller
	// may have received a part of it, and sending it again would repeat bytes.
	a.next++
	a.counts.Delivered++
	return emit(data)
}
