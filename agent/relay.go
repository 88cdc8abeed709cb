package agent

import (
	"context"
	"io"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// errEntryWrite means that the entry's stream broke while a chunk was written.
const errEntryWrite = errors.ConstError("could not write to the entry")

// relayRun sends the request to the engine and its chunks to the entry, one at
// a time: while the entry doesn't read, the engine isn't read either, so that a
// slow caller uses no memory in the agent.
func (a *Agent) relayRun(r *run, data []byte) error {
	r.began.Store(true)
	stream, err := a.cfg.Engine.Run(r.ctx, newEngineRun(r, data))
	a.releaseBody(r)
	r.body.data = nil
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(r.ctx, func() { _ = stream.Close() })
	defer stop()
	r.end.Chunks = r.start.ResumeFrom
	first := true
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) && r.ctx.Err() == nil {
			return nil
		}
		if err != nil {
			return err
		}
		if first {
			a.finishPrefill(r)
			first = false
		}
		if err := a.relayChunk(r, chunk); err != nil {
			return err
		}
	}
}

func newEngineRun(r *run, data []byte) *EngineRun {
	s := r.start
	return &EngineRun{
		ID:         r.id,
		Kind:       s.Kind,
		Model:      engineModel(s),
		Body:       data,
		Priority:   s.Priority,
		ResumeFrom: s.ResumeFrom,
		PriorText:  s.PriorText,
		Group:      s.Group,
		Segment:    s.Segment,
		Segments:   max(uint32(len(s.Group)), s.Segment+1),
	}
}

// engineModel returns the model name under which the engine serves the request.
// It may differ from the name in the body: an adapter has its own name, and a
// caller may have named the pool.
func engineModel(s *wirepb.Start) string {
	if s.Adapter != "" {
		return s.Adapter
	}
	return s.Model
}

func (a *Agent) relayChunk(r *run, c EngineChunk) error {
	a.recordUsage(r, c)
	if len(c.Data) == 0 {
		return nil
	}
	msg := &wirepb.Chunk{Sequence: r.end.Chunks, Data: c.Data, Tokens: c.Tokens}
	r.end.Chunks++
	if err := r.send(&wirepb.RunDown{Body: &wirepb.RunDown_Chunk{Chunk: msg}}); err != nil {
		return errors.WithType(err, errEntryWrite)
	}
	return nil
}

// recordUsage updates the usage and the memory that the ledger counts for the
// run. The output is what the engine reported, or the tokens of the chunks so
// far if that is more.
func (a *Agent) recordUsage(r *run, c EngineChunk) {
	r.streamedTokens += uint64(c.Tokens)
	r.end.PromptTokens = max(r.end.PromptTokens, c.PromptTokens)
	r.end.CachedTokens = max(r.end.CachedTokens, c.CachedTokens)
	r.end.OutputTokens = max(r.end.OutputTokens, c.OutputTokens, r.streamedTokens)
	prompt := max(r.promptTokens, int64(r.end.PromptTokens))
	if err := a.ledger.UpdateUsage(r.id, prompt+int64(r.end.OutputTokens)); err != nil {
		a.counters.overgrown.Inc(1)
	}
}

// relayService calls a plain service and relays its response.
func (a *Agent) relayService(r *run, data []byte) error {
	r.began.Store(true)
	stream, err := a.cfg.Engine.Service(r.ctx, &ServiceCall{
		ID:      r.id,
		Method:  r.start.Method,
		Path:    r.start.Path,
		Headers: r.start.Headers,
		Body:    data,
	})
	a.releaseBody(r)
	r.body.data = nil
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(r.ctx, func() { _ = stream.Close() })
	defer stop()
	r.end.Status = stream.Status()
	head := &wirepb.Head{Status: stream.Status(), Headers: stream.Headers()}
	if err := r.send(&wirepb.RunDown{Body: &wirepb.RunDown_Head{Head: head}}); err != nil {
		return errors.WithType(err, errEntryWrite)
	}
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) && r.ctx.Err() == nil {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.relayChunk(r, EngineChunk{Data: data}); err != nil {
			return err
		}
	}
}

// prefillSegment has the engine prefill and keep one segment. Its KV cache
// stays charged to the hold until the hold ends.
func (a *Agent) prefillSegment(r *run, data []byte) error {
	r.began.Store(true)
	segment, err := a.cfg.Engine.PrefillSegment(r.ctx, newEngineRun(r, data))
	a.releaseBody(r)
	r.body.data = nil
	if err != nil {
		return err
	}
	a.finishPrefill(r)
	// A hold that ended during the prefill would leave the segment without an
	// owner, and the engine would never get this memory back.
	if err := a.ledger.RetainSegment(a.cfg.Now(), r.id, segment.Handle, int64(segment.Tokens)); err != nil {
		a.reaper.freeSegment(segment.Handle)
		return errHoldLapsed
	}
	r.end.Handle = segment.Handle
	r.end.PromptTokens = segment.Tokens
	r.end.PrefillUs = segment.PrefillUS
	return nil
}
