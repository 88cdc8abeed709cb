package gateway

import (
	"context"
	"time"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
)

// A part of prompts may crash every server that begins to respond to a request with it, and the
// requests with it are no two alike. quarantine.PartTracker finds such parts.

// sharedParts returns the parts of a request's prompt with the scope in which their IDs are unique.
func (e *exchange) sharedParts() []quarantine.Part {
	if len(e.info.Prompt.SharedParts) == 0 {
		return nil
	}
	return quarantine.NewScope(e.service.Name, e.info.Prompt.Model).Parts(e.info.Prompt.SharedParts)
}

// partVerdict returns how the request may run, after the servers that died under requests with the
// same parts.
func (e *exchange) partVerdict() quarantine.PartVerdict {
	if len(e.parts) == 0 {
		return quarantine.PartVerdict{}
	}
	v := e.gateway.cfg.Parts.Verdict(e.parts, time.Now())
	e.partRetryAt = v.RetryAt
	return v
}

// partRetryAfter returns when the caller of a request with a refused part may retry: when the part is
// tried again, and at least after the given delay.
func (e *exchange) partRetryAfter(after time.Duration) time.Duration {
	return max(after, time.Until(e.partRetryAt))
}

// placeWithParts admits the attempt to run with its parts, places it and reserves its memory. If
// requests with one of its parts have come to run one at a time meanwhile, it waits for its turn
// and is placed again. Without an attempt it returns the reason for a refusal.
func (e *exchange) placeWithParts(ctx context.Context) (*placedAttempt, Reason) {
	for {
		if reason := e.startParts(ctx); reason != "" {
			return nil, e.reasonBeforeSend(reason)
		}
		attempt, ok := e.placeAndReserve(ctx)
		if !ok {
			return nil, e.noServerReason()
		}
		v := e.partVerdict()
		switch {
		case v.Verdict == quarantine.Refuse:
			attempt.release()
			return nil, e.reasonBeforeSend(ReasonPartKillsServers)
		case v.Verdict == quarantine.Allow || e.partsAlone:
			return attempt, ""
		}
		attempt.release()
		e.stopParts()
	}
}

// startParts admits the attempt to run with its parts. It waits for its turn if it may only run
// alone, and returns the reason for a refusal if that doesn't come while its work still fits into its
// caller's time.
func (e *exchange) startParts(ctx context.Context) Reason {
	if len(e.parts) == 0 {
		return ""
	}
	v := e.gateway.cfg.Parts.Await(ctx, e.parts, time.Until(e.latestStart()))
	e.partRetryAt = v.RetryAt
	switch {
	case v.Verdict == quarantine.Refuse:
		return ReasonPartKillsServers
	case v.Busy:
		return ReasonPartSuspected
	}
	e.partsRunning, e.partsAlone = true, v.Verdict == quarantine.RunAlone
	return ""
}

// stopParts ends what startParts began. Further calls have no effect.
func (e *exchange) stopParts() {
	if e.partsRunning {
		e.partsRunning = false
		e.gateway.cfg.Parts.Stop(e.parts)
	}
}

// clearParts records that the server of the attempt has begun to respond, which shows that no part of
// the prompt crashes servers.
func (e *exchange) clearParts() {
	if len(e.parts) == 0 {
		return
	}
	now := time.Now()
	e.gateway.possibleDeaths.clearParts(e.parts, now)
	if cleared := e.gateway.cfg.Parts.Clear(e.parts, now); len(cleared) > 0 {
		e.gateway.cfg.DeathReporter.ReportPartsCleared(cleared, now)
	}
	e.stopParts()
}

// recordPartDeath records and reports that a server died under a request that had not begun to
// respond.
func (g *Gateway) recordPartDeath(s possibleDeath) {
	if len(s.parts) == 0 {
		return
	}
	death := quarantine.PartDeath{
		Death: s.death, Silent: s.silent, Server: placement.ServerKey(s.server.Instance), Parts: s.parts,
	}
	if g.cfg.Parts.Record(death, time.Now()) {
		g.cfg.DeathReporter.ReportPartDeath(death)
	}
}
