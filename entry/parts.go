package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Prompts that share a message, or the text that they begin with, may crash every engine that begins to
// answer one of them, though no two prompts are alike. quarantine.PartTracker finds what they
// share.

// sharedParts returns hashes of what other prompts may share: each message but the last, and the text up
// to the end of each leading block.
func (b *requestBody) sharedParts(prefixHashes []uint64) []uint64 {
	out := slices.Clone(prefixHashes)
	for _, m := range b.Messages[:max(len(b.Messages)-1, 0)] {
		d := xxhash.New()
		writeField(d, m.Role)
		writeField(d, string(m.Content))
		out = append(out, d.Sum64())
	}
	return out
}

// partsOf returns the parts of a prompt with the scope in which they are unique.
func partsOf(spec *request.Spec, body *requestBody, pool string) []quarantine.Part {
	if body == nil {
		return nil // a plain service has no prompt
	}
	scope := quarantine.NewScope(pool, spec.Model+"\x00"+spec.Adapter)
	return scope.Parts(body.sharedParts(spec.PrefixHashes))
}

// startParts admits the next attempt to run with its parts, and returns the reason if it is refused. It
// waits for its turn, if it may only run alone, while its work fits into the rest of its caller's time.
func (c *call) startParts(ctx context.Context) *request.Failure {
	if len(c.parts) == 0 {
		return nil
	}
	v := c.e.cfg.Parts.Await(ctx, c.parts, time.Until(c.latestStart()))
	switch {
	case v.Verdict == quarantine.Refuse:
		return c.refusePart()
	case v.Busy:
		return c.newFailure(http.StatusServiceUnavailable, reasonPartSuspected, "admission",
			"engines died while they ran prompts with a part of this one; such prompts run one at a time", retrySoon)
	}
	c.partsRunning = true
	return nil
}

// checkParts refuses a prompt with a part under which engines died.
func (c *call) checkParts(now time.Time) *request.Failure {
	if len(c.parts) == 0 || c.e.cfg.Parts.Verdict(c.parts, now).Verdict != quarantine.Refuse {
		return nil
	}
	return c.refusePart()
}

func (c *call) refusePart() *request.Failure {
	return c.newFailure(http.StatusUnprocessableEntity, reasonQuarantined, "admission",
		"engines died while they ran prompts with a part of this one; it is refused for now", 0)
}

// stopParts ends what startParts began. Further calls have no effect.
func (c *call) stopParts() {
	if c.partsRunning {
		c.partsRunning = false
		c.e.cfg.Parts.Stop(c.parts)
	}
}

// clearParts records that the engine of the attempt has begun to answer, which shows that no part of
// the prompt crashes engines.
func (c *call) clearParts() {
	c.e.cfg.Parts.Clear(c.parts, c.firstChunkAt)
	c.stopParts()
}

// recordPartDeath records that an engine died before it began to answer the attempt.
func (c *call) recordPartDeath(end *wirepb.End) {
	if len(c.parts) == 0 || !c.firstChunkAt.IsZero() {
		return
	}
	now := time.Now()
	death := quarantine.PartDeath{
		Death: quarantine.Death{ID: end.GetDeath(), Began: c.attemptStart, Ended: now},
		Parts: c.parts,
	}
	if c.e.cfg.Parts.Record(death, now) && c.e.cfg.OnPartDeath != nil {
		c.e.cfg.OnPartDeath(death)
	}
}
