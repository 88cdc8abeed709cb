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

// exchange runs start as this call's present attempt and relays its answer.
func (c *call) exchange(ctx context.Context, to routing.Choice, start *wirepb.Start) result {
	attempt := start.GetAttempt()
	c.asm.StartAttempt(attempt)
	c.began, c.first = time.Now(), time.Time{}
	res := c.e.exchange(ctx, to, start, c.spec.Body, hooks{
		sending: c.sending,
		head:    c.out.head,
		chunk: func(ch *wirepb.Chunk) error {
			return c.asm.Offer(attempt, ch.GetSequence(), ch.GetData(), c.emit)
		},
	})
	if res.end.GetCode() == wirepb.EndCode_END_OK {
		c.complete(&res)
	}
	return res
}

func (c *call) sending() {
	c.admitted++
	c.life.MarkMayHaveRun()
}

// emit gives the next chunk in order to the caller.
func (c *call) emit(data []byte) error {
	if c.first.IsZero() {
		c.first = time.Now()
	}
	if c.asm.NextSequence() == 1 {
		c.firstToken = c.first
		c.ticket.PrefillDone()
		c.e.meters.firstToken(c.spec.Class(), time.Since(c.spec.Arrived))
	}
	if err := c.out.chunk(data); err != nil {
		return err
	}
	if c.out.started() {
		c.reach(request.Answering)
	}
	return nil
}

// complete ends an answer that its agent calls whole, if it is.
func (c *call) complete(res *result) {
	if err := c.asm.CheckComplete(res.end.GetChunks()); err != nil {
		res.err = errors.Annotatef(err, "step end, peer %s", res.peer)
		return
	}
	c.output = int64(res.end.GetOutputTokens())
	c.learn(res)
	if err := c.out.finish(res.end); err != nil {
		res.callerErr = err
		res.err = err
	}
}

// learn takes in what a finished answer says of its engine and its prompt.
func (c *call) learn(res *result) {
	now := time.Now()
	if c.body == nil {
		return
	}
	if c.alone {
		c.e.cfg.Quarantine.RecordCompletion(c.spec.Fingerprint, now)
	}
	if c.e.cfg.Prefixes != nil {
		c.e.cfg.Prefixes.RecordSent(backend.KeyOf(res.peer), c.spec.PrefixHashes)
	}
	if c.e.cfg.Costs != nil && !c.first.IsZero() {
		c.e.cfg.Costs.Record(c.pool, routing.Observation{
			PromptTokens: int64(res.end.GetPromptTokens()),
			CachedTokens: int64(res.end.GetCachedTokens()),
			Prefill:      time.Duration(res.end.GetPrefillUs()) * time.Microsecond,
			OutputTokens: int64(res.end.GetOutputTokens()),
			Decode:       now.Sub(c.first),
			Running:      int32(res.end.GetLoad().GetRunning()) + 1,
			Elapsed:      now.Sub(c.began),
		})
	}
}

func (c *call) start() *wirepb.Start {
	s := c.spec
	start := &wirepb.Start{
		RequestId:        s.ID,
		Attempt:          c.life.BeginAttempt(),
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
		Alone:            c.alone,
		BodyBytes:        uint64(len(s.Body)),
		Stream:           s.Stream,
	}
	if s.Kind == request.KindService {
		start.Method, start.Path = s.Method, s.Path
		for name, value := range s.Headers {
			start.Headers = append(start.Headers, &wirepb.Header{Name: name, Value: value})
		}
	}
	if c.asm.NextSequence() > 0 {
		start.ResumeFrom = c.asm.NextSequence()
		start.PriorText = c.out.prior()
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
