package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/briarturn/briarturn/platform/standin"
)

// What the system promises, as its operators declare it to the entries of a run.
const (
	revokeLimit  = 5 * time.Second  // from a key's removal to the last request that runs with it
	grace        = 4 * time.Second  // from SIGTERM to the end of an entry
	graceSlack   = 2 * time.Second  // of a busy machine
	settleLimit  = 12 * time.Second // from the last fault to service at each entry
	retryRatio   = 0.2
	retrySlack   = 40
	retryWindow  = 10 * time.Second
	callPatience = 4 * time.Second

	evacuateLimit = 5 * time.Second // from the store's word that a zone is evacuated
	evacuateSlack = time.Second     // of a busy machine
	coldPerSecond = 8               // requests that a cold server bears
	coldOverage   = 1.5             // of which it bears so many times as many for a moment,
	coldSlack     = 5               // and so many more
	coldNotice    = 3 * time.Second // from the store's word of its coldness; faults of the store last shorter
)

// Violation is a promise that a run saw broken.
type Violation struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// Promises that are checked.
const (
	PromiseOnce      = "at most once"
	PromiseNotRun    = "a refusal that says not run is true"
	PromiseWhole     = "an answer is whole and its own"
	PromiseRevoked   = "a key that was removed runs nothing"
	PromiseDenied    = "a good key is not denied"
	PromiseBudget    = "retries stay in their budget"
	PromiseDrain     = "an entry that is told to end cuts nothing"
	PromiseEvacuated = "an evacuated zone gets nothing new"
	PromiseCold      = "a cold server gets no more than it bears"
	PromiseNeed      = "a server that names a rate gets no more than that"
	PromiseLeaving   = "a server that announces its end gets nothing new"
	PromiseBackOff   = "a server that wants no requests for a time gets none"
	PromiseParts     = "a part of prompts that crashes servers is refused, and no other"
	PromiseEndless   = "a response without end is given up"
	PromiseRegion    = "a request runs in its allowed regions only"
	PromiseGrace     = "an entry that is told to end does so in time"
	PromiseLives     = "no process ends by itself"
	PromiseRecovers  = "service is back after the last fault"
)

// judge holds what was seen against what is promised.
func (r *record) judge() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Violation
	runs := map[string]int{}
	for _, a := range r.arrivals {
		if a.Ran {
			runs[a.ID]++
		}
	}
	for _, q := range r.requests {
		out = append(out, r.judgeRequest(q, runs[q.ID])...)
	}
	out = append(out, r.judgeBudget()...)
	out = append(out, r.judgePlaces()...)
	for _, n := range r.needs {
		out = append(out, r.judgeNeed(n)...)
	}
	out = append(out, r.judgeNotices()...)
	out = append(out, r.judgeParts()...)
	out = append(out, r.judgeEndless()...)
	for _, name := range r.ended {
		out = append(out, Violation{PromiseLives, name})
	}
	for _, name := range r.stuck {
		out = append(out, Violation{PromiseGrace, name})
	}
	if !r.settled {
		out = append(out, Violation{PromiseRecovers, fmt.Sprintf("not all entries served within %v", settleLimit)})
	}
	return out
}

func (r *record) judgeRequest(q request, runs int) []Violation {
	var out []Violation
	fail := func(promise, format string, args ...any) {
		out = append(out, Violation{promise, fmt.Sprintf("%s %s at entry %d: ", q.ID, q.Path, q.Entry) + fmt.Sprintf(format, args...)})
	}
	if q.Path == standin.PathNonIdempotent && runs > 1 {
		fail(PromiseOnce, "ran %d times", runs)
	}
	if q.Path == standin.PathNonIdempotent && q.Outcome == NotRun && runs > 0 {
		fail(PromiseNotRun, "ran and was refused as not run")
	}
	if q.Outcome == Wrong {
		fail(PromiseWhole, "%s", q.Detail)
	}
	if q.Key == removedKey && runs > 0 && !r.revoked.IsZero() && q.Sent.Sub(r.revoked) > revokeLimit {
		fail(PromiseRevoked, "ran, sent %v after the removal", q.Sent.Sub(r.revoked))
	}
	if q.Key == keptKey && q.Outcome == Denied {
		fail(PromiseDenied, "%s", q.Detail)
	}
	if q.Outcome == Broken && r.drainAlone(q) {
		fail(PromiseDrain, "cut %v after it was sent: %s", q.Ended.Sub(q.Sent), q.Detail)
	}
	return out
}

// cutsNothing are the steps beside which an entry that is told to end cuts nothing.
var cutsNothing = []Fault{Configure, Revoke, EntryTerm, ServerNeed, ServerCold, OneEntry}

// drainAlone reports whether nothing but the planned end of its entry, and steps that cut nothing, was
// going on from some seconds before a request to its end.
func (r *record) drainAlone(q request) bool {
	const before = 4 * time.Second
	drained := false
	for _, s := range r.spans {
		if s.To.Before(q.Sent.Add(-before)) || s.From.After(q.Ended) {
			continue
		}
		switch {
		case s.Fault == EntryTerm && s.Target == q.Entry:
			drained = true
		case slices.Contains(cutsNothing, s.Fault):
		default:
			return false
		}
	}
	return drained
}

// judgeBudget counts the arrivals beyond the first of each request in each window that ends
// with one, against the requests of that window, of the one before, or of that half before.
func (r *record) judgeBudget() []Violation {
	var sent, again []time.Time
	for _, q := range r.requests {
		sent = append(sent, q.Sent)
	}
	seen := map[string]bool{}
	for _, a := range r.arrivals {
		if seen[a.ID] {
			again = append(again, a.At)
		}
		seen[a.ID] = true
	}
	slices.SortFunc(sent, time.Time.Compare)
	slices.SortFunc(again, time.Time.Compare)
	for i, at := range again {
		repeats := i + 1 - countBefore(again, at.Add(-retryWindow))
		first := 0
		for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
			end := at.Add(-shift)
			first = max(first, countBefore(sent, end)-countBefore(sent, end.Add(-retryWindow)))
		}
		if allowed := retryRatio*float64(first) + retrySlack; float64(repeats) > allowed {
			return []Violation{{PromiseBudget, fmt.Sprintf("%d arrivals beyond the first in %v, %.0f allowed", repeats, retryWindow, allowed)}}
		}
	}
	return nil
}

// countBefore is how many of sorted times are before t.
func countBefore(sorted []time.Time, t time.Time) int {
	n, _ := slices.BinarySearchFunc(sorted, t, time.Time.Compare)
	return n
}
