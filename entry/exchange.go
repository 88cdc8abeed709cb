package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// runAttempt runs start as this call's current attempt and relays its answer
// to the sink.
func (c *call) runAttempt(ctx context.Context, to routing.Choice, start *wirepb.Start) result {
	attempt := start.GetAttempt()
	c.assembler.StartAttempt(attempt)
	c.attemptStart, c.firstChunkAt = time.Now(), time.Time{}
	res := c.e.runAttempt(ctx, to, start, c.spec.Body, hooks{
		beforeBody: c.markBodySent,
		head:       c.sink.head,
		chunk: func(ch *wirepb.Chunk) error {
			return c.assembler.Offer(attempt, ch.GetSequence(), ch.GetData(), c.deliver)
		},
	})
	if res.end.GetCode() == wirepb.EndCode_END_OK {
		c.complete(&res)
	}
	return res
}

func (c *call) markBodySent() {
	c.admittedAttempts++
	c.lifecycle.MarkMayHaveRun()
}

// deliver passes the next chunk in sequence to the sink.
func (c *call) deliver(data []byte) error {
	if c.firstChunkAt.IsZero() {
		c.firstChunkAt = time.Now()
		c.clearParts()
	}
	if c.assembler.NextSequence() == 1 {
		c.firstTokenAt = c.firstChunkAt
		c.ticket.PrefillDone()
		c.e.metrics.recordTTFT(c.spec.Class(), time.Since(c.spec.Arrived))
	}
	if err := c.sink.chunk(data); err != nil {
		return err
	}
	if c.sink.started() {
		c.ensureState(request.Answering)
	}
	return nil
}

// complete finishes an answer that the agent reported as complete, after
// checking that all chunks have arrived.
func (c *call) complete(res *result) {
	if err := c.assembler.CheckComplete(res.end.GetChunks()); err != nil {
		res.err = errors.Annotatef(err, "step end, peer %s", res.server)
		return
	}
	c.outputTokens = int64(res.end.GetOutputTokens())
	c.recordCompletion(res)
	if err := c.sink.finish(res.end); err != nil {
		res.callerErr = err
		res.err = err
	}
}

// recordCompletion records what a completed answer shows about its engine and
// prompt: in the quarantine, the prefix index and the cost model.
func (c *call) recordCompletion(res *result) {
	now := time.Now()
	if c.body == nil {
		return
	}
	if c.runAlone {
		c.e.cfg.Quarantine.RecordCompletion(c.spec.Fingerprint, now)
	}
	if c.e.cfg.Prefixes != nil {
		c.e.cfg.Prefixes.RecordSent(backend.KeyOf(res.server), c.spec.PrefixHashes)
	}
	if c.e.cfg.Costs != nil && !c.firstChunkAt.IsZero() {
		c.e.cfg.Costs.Record(c.pool, routing.Observation{
			PromptTokens: int64(res.end.GetPromptTokens()),
			CachedTokens: int64(res.end.GetCachedTokens()),
			Prefill:      time.Duration(res.end.GetPrefillUs()) * time.Microsecond,
			OutputTokens: int64(res.end.GetOutputTokens()),
			Decode:       now.Sub(c.firstChunkAt),
			Running:      int32(res.end.GetLoad().GetRunning()) + 1,
			Elapsed:      now.Sub(c.attemptStart),
		})
	}
}

func (c *call) newStart() *wirepb.Start {
	s := c.spec
	start := &wirepb.Start{
		RequestId:        s.ID,
		Attempt:          c.lifecycle.BeginAttempt(),
		Workspace:        s.Workspace,
		Pool:             c.pool,
		Model:            s.Model,
		Adapter:          s.Adapter,
		Kind:             kindOf(s.Kind),
		TimeoutMs:        uint64(max(time.Until(s.Deadline).Milliseconds(), 1)),
		Idempotent:       s.Idempotent,
		IdempotencyKey:   s.IdempotencyKey,
		Fingerprint:      s.Fingerprint,
		PromptTokens:     uint64(s.PromptTokens),
		MaxTokens:        uint64(s.MaxTokens),
		Priority:         int32(s.Class()),
		Long:             s.Class() == request.ClassHuge,
		Entry:            c.e.cfg.Name,
		EntryIncarnation: c.e.cfg.Incarnation,
		Alone:            c.runAlone,
		BodyBytes:        uint64(len(s.Body)),
		Stream:           s.Stream,
	}
	if s.Kind == request.KindService {
		start.Method, start.Path = s.Method, s.Path
		for name, value := range s.Headers {
			start.Headers = append(start.Headers, &wirepb.Header{Name: name, Value: value})
		}
	}
	if c.assembler.NextSequence() > 0 {
		start.ResumeFrom = c.assembler.NextSequence()
		start.PriorText = c.sink.prior()
	}
	return start
}

func kindOf(k request.Kind) wirepb.Kind {
	switch k {
	case request.KindChat:
		return wirepb.Kind_KIND_CHAT
	case request.KindCompletion:
		return wirepb.Kind_KIND_COMPLETION
	}
	return wirepb.Kind_KIND_SERVICE
}
