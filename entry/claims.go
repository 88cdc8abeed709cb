package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/claim"
	"github.com/briarturn/briarturn/request"
)

// maxRecordedAnswer is the maximum size of a body, in bytes, that is put into a
// claim's record. The Claimer may store less.
const maxRecordedAnswer = 4 << 10

// recordedAnswer is a completed answer as stored in a claim's record.
type recordedAnswer struct {
	status      int
	contentType string
	body        []byte
}

// claimRecord encodes the answer as a claim's record. Its first line holds the
// request's fingerprint, which detects the reuse of a key with different content,
// and the content type.
func (a recordedAnswer) claimRecord(fingerprint uint64) claim.Record {
	if len(a.body) > maxRecordedAnswer {
		return claim.Record{Status: a.status, Truncated: true}
	}
	head := fmt.Sprintf("%016x %s\n", fingerprint, a.contentType)
	return claim.Record{Status: a.status, Response: append([]byte(head), a.body...)}
}

// parseRecord decodes a claim's record. ok is false if the record doesn't hold
// the answer.
func parseRecord(r claim.Record) (a recordedAnswer, fingerprint uint64, ok bool) {
	head, body, found := bytes.Cut(r.Response, []byte("\n"))
	if r.Truncated || !found {
		return recordedAnswer{}, 0, false
	}
	var contentType string
	mark, rest, _ := bytes.Cut(head, []byte(" "))
	contentType = string(rest)
	if _, err := fmt.Sscanf(string(mark), "%x", &fingerprint); err != nil {
		return recordedAnswer{}, 0, false
	}
	return recordedAnswer{status: r.Status, contentType: contentType, body: body}, fingerprint, true
}

// needsClaim reports whether a claim must protect the request from running
// twice if the caller resends it. A resent non-idempotent request without a
// key can't be distinguished from a new one: it is dispatched once and never
// retried, and a claim would not help.
func (c *call) needsClaim() bool { return !c.spec.Idempotent && c.spec.IdempotencyKey != "" }

func (c *call) claimKey() claim.Key {
	return claim.Key{Workspace: c.spec.Workspace, IdempotencyKey: c.spec.IdempotencyKey}
}

// claim records that the request is about to run. done reports that the caller
// has received the recorded answer of an earlier request with the same key.
func (c *call) claim(ctx context.Context) (grant claim.Grant, done bool, f *request.Failure) {
	if c.e.cfg.Claimer == nil {
		return grant, false, c.claimFailure(claim.ErrNotRun)
	}
	grant, err := c.e.cfg.Claimer.Claim(ctx, c.claimKey(), claim.Request{ID: c.spec.ID, FirstSend: c.spec.FirstSend})
	if err != nil {
		return grant, false, c.claimFailure(err)
	}
	if grant.Fresh {
		return grant, false, nil
	}
	switch grant.Prior.State {
	case claim.Done:
		done, f = c.replay(grant.Prior.Record)
	case claim.Running:
		f = c.earlierRequestFailure(reasonInProgress, "an earlier request with this key is in progress")
		f.RetryAfter = retrySoon
	default:
		f = c.earlierRequestFailure(reasonEarlierUnknown, "an earlier request with this key was dispatched and its outcome is not known")
	}
	return grant, done, f
}

// claimFailure returns the failure of a request whose claim failed. This
// request has not run, but the code is outcome_unknown where an earlier
// request with the same key may have run.
func (c *call) claimFailure(err error) *request.Failure {
	if errors.Is(err, claim.ErrBadKey) {
		return notRun(http.StatusBadRequest, reasonBadKey, "claim", err.Error(), 0)
	}
	f := notRun(http.StatusServiceUnavailable, reasonClaimUnavailable, "claim", err.Error(), retrySoon)
	if !errors.Is(err, claim.ErrNotRun) {
		f.Code = request.OutcomeUnknown
	}
	return f
}

// earlierRequestFailure returns the failure of a request whose key belongs to an
// earlier request that may have run.
func (c *call) earlierRequestFailure(reason, message string) *request.Failure {
	f := notRun(http.StatusConflict, reason, "claim", message, 0)
	f.Code = request.OutcomeUnknown
	return f
}

// replay returns the recorded answer to the caller. It fails if the answer isn't
// stored or the key was used with different content.
func (c *call) replay(r claim.Record) (bool, *request.Failure) {
	a, fingerprint, ok := parseRecord(r)
	if !ok {
		return false, c.earlierRequestFailure(reasonFinished, "an earlier request with this key ran to its end; its answer is not kept")
	}
	if fingerprint != c.spec.Fingerprint {
		return false, notRun(http.StatusUnprocessableEntity, reasonKeyReused, "claim",
			"this key was used before with other content", 0)
	}
	c.e.metrics.count("entry.replayed")
	if err := c.sink.replay(a); err != nil {
		return false, c.newFailure(statusClientClosed, reasonCancelled, "replay", err.Error(), 0)
	}
	return true, nil
}

// settle records the outcome of a claimed request. If the record is lost, the
// claim stays open and a resent request correctly fails with outcome_unknown.
func (c *call) settle(grant claim.Grant, f *request.Failure) {
	outcome := claim.Outcome{Kind: claim.OutcomeUnknown}
	switch {
	case f == nil:
		outcome = claim.Outcome{Kind: claim.OutcomeDone, Record: c.sink.record().claimRecord(c.spec.Fingerprint)}
	case f.Code == request.NotRun:
		// The caller may resend immediately, so its key must be released before
		// the response.
		ctx, cancel := context.WithTimeout(context.Background(), freeKeyTimeout)
		defer cancel()
		c.writeOutcome(ctx, grant, claim.Outcome{Kind: claim.OutcomeNotRun})
		return
	}
	c.e.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		c.writeOutcome(ctx, grant, outcome)
	})
}

func (c *call) writeOutcome(ctx context.Context, grant claim.Grant, o claim.Outcome) {
	if err := c.e.cfg.Claimer.Settle(ctx, grant, o); err != nil {
		c.e.metrics.count("entry.settle_failed")
	}
}
