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

// maxRecordedAnswer bounds what is offered to a claim's record. The Claimer may
// keep less.
const maxRecordedAnswer = 4 << 10

// recorded is a finished answer as a claim's record keeps it.
type recorded struct {
	status      int
	contentType string
	body        []byte
}

// record makes the claim's record. Its first line holds the request's
// fingerprint, by which a key that was used for other content is noticed, and
// the content type.
func (a recorded) record(fingerprint uint64) claim.Record {
	if len(a.body) > maxRecordedAnswer {
		return claim.Record{Status: a.status, Truncated: true}
	}
	head := fmt.Sprintf("%016x %s\n", fingerprint, a.contentType)
	return claim.Record{Status: a.status, Response: append([]byte(head), a.body...)}
}

// recordedIn reads a claim's record. ok is false if its answer isn't kept.
func recordedIn(r claim.Record) (a recorded, fingerprint uint64, ok bool) {
	head, body, found := bytes.Cut(r.Response, []byte("\n"))
	if r.Truncated || !found {
		return recorded{}, 0, false
	}
	var contentType string
	mark, rest, _ := bytes.Cut(head, []byte(" "))
	contentType = string(rest)
	if _, err := fmt.Sscanf(string(mark), "%x", &fingerprint); err != nil {
		return recorded{}, 0, false
	}
	return recorded{status: r.Status, contentType: contentType, body: body}, fingerprint, true
}

// needsClaim reports whether a resend of the request could make it run twice. A
// non-idempotent request without a key can't be told from a new one: it is
// dispatched once and never retried, and no record of it is of use.
func (c *call) needsClaim() bool { return !c.spec.Idempotent && c.spec.IdempotencyKey != "" }

func (c *call) claimKey() claim.Key {
	return claim.Key{Workspace: c.spec.Workspace, IdempotencyKey: c.spec.IdempotencyKey}
}

// claim records that the request is about to run. done tells that the caller
// has been given the answer of an earlier request with the key.
func (c *call) claim(ctx context.Context) (grant claim.Grant, done bool, f *request.Failure) {
	if c.e.cfg.Claimer == nil {
		return grant, false, c.noClaim(claim.ErrNotRun)
	}
	grant, err := c.e.cfg.Claimer.Claim(ctx, c.claimKey(), claim.Request{ID: c.spec.ID, FirstSend: c.spec.FirstSend})
	if err != nil {
		return grant, false, c.noClaim(err)
	}
	if grant.Fresh {
		return grant, false, nil
	}
	switch grant.Prior.State {
	case claim.Done:
		done, f = c.replay(grant.Prior.Record)
	case claim.Running:
		f = c.earlier(reasonInProgress, "an earlier request with this key is in progress")
		f.RetryAfter = retrySoon
	default:
		f = c.earlier(reasonEarlierUnknown, "an earlier request with this key was dispatched and its outcome is not known")
	}
	return grant, done, f
}

// noClaim is the failure where no claim was made. This request has not run; the
// code speaks of the key, under which an earlier one may have.
func (c *call) noClaim(err error) *request.Failure {
	if errors.Is(err, claim.ErrBadKey) {
		return notRun(http.StatusBadRequest, reasonBadKey, "claim", err.Error(), 0)
	}
	f := notRun(http.StatusServiceUnavailable, reasonClaimUnavailable, "claim", err.Error(), retrySoon)
	if !errors.Is(err, claim.ErrNotRun) {
		f.Code = request.OutcomeUnknown
	}
	return f
}

// earlier is the failure where an earlier request with the key may have run.
func (c *call) earlier(reason, message string) *request.Failure {
	f := notRun(http.StatusConflict, reason, "claim", message, 0)
	f.Code = request.OutcomeUnknown
	return f
}

// replay gives the recorded answer.
func (c *call) replay(r claim.Record) (bool, *request.Failure) {
	a, fingerprint, ok := recordedIn(r)
	if !ok {
		return false, c.earlier(reasonFinished, "an earlier request with this key ran to its end; its answer is not kept")
	}
	if fingerprint != c.spec.Fingerprint {
		return false, notRun(http.StatusUnprocessableEntity, reasonKeyReused, "claim",
			"this key was used before with other content", 0)
	}
	c.e.meters.count("entry.replayed")
	if err := c.out.replay(a); err != nil {
		return false, c.failure(statusClientClosed, reasonCancelled, "replay", err.Error(), 0)
	}
	return true, nil
}

// settle records how a claimed request ended. If the record is lost, the claim
// stays open and a resend is told outcome_unknown, which is true.
func (c *call) settle(grant claim.Grant, f *request.Failure) {
	outcome := claim.Outcome{Kind: claim.OutcomeUnknown}
	switch {
	case f == nil:
		outcome = claim.Outcome{Kind: claim.OutcomeDone, Record: c.out.record().record(c.spec.Fingerprint)}
	case f.Code == request.NotRun:
		// The caller will resend at once; its key must be free by then.
		ctx, cancel := context.WithTimeout(context.Background(), freeKeyTime)
		defer cancel()
		c.write(ctx, grant, claim.Outcome{Kind: claim.OutcomeNotRun})
		return
	}
	c.e.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		c.write(ctx, grant, outcome)
	})
}

func (c *call) write(ctx context.Context, grant claim.Grant, o claim.Outcome) {
	if err := c.e.cfg.Claimer.Settle(ctx, grant, o); err != nil {
		c.e.meters.count("entry.settle_failed")
	}
}
