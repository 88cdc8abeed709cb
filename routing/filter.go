package routing

import (
	"slices"

	"github.com/briarturn/briarturn/backend"
)

// tier groups servers by how well they suit a request. Servers of a later tier are
// chosen only if no candidate is in an earlier one.
type tier uint8

const (
	tierFit     tier = iota // can take the request now
	tierWait                // lacks free memory, has another role, or isn't idle though the query prefers it
	tierSuspect             // hasn't reported for too long
	tierUnfit               // can't serve the request
)

// classify returns the tier of a server for a query.
func classify(q *Query, row *backend.Row) tier {
	if !usable(q, row) {
		return tierUnfit
	}
	if row.State == backend.StateSuspect {
		return tierSuspect
	}
	if !fitsNow(q, row) || !acceptsWholeRequests(row) || (q.PreferIdle && !isIdle(row)) {
		return tierWait
	}
	return tierFit
}

// usable reports whether the server may be sent the request at all.
func usable(q *Query, row *backend.Row) bool {
	if row.State == backend.StateLeaving || row.State == backend.StateDead || row.Load.Draining {
		return false
	}
	if !servesModel(q, row) || !fitsWhenEmpty(q, row) {
		return false
	}
	return !slices.Contains(q.Exclude, row.Name)
}

// servesModel reports whether the server has the model and the adapter.
func servesModel(q *Query, row *backend.Row) bool {
	if row.Service {
		return true
	}
	if q.Model != "" && q.Model != row.Pool && !slices.Contains(row.Models, q.Model) {
		return false
	}
	return q.Adapter == "" || slices.Contains(row.Adapters, q.Adapter)
}

// fitsWhenEmpty reports whether the request fits into the server when it is empty. A
// server with unknown capacity counts as large enough and refuses the request itself if
// it is not.
func fitsWhenEmpty(q *Query, row *backend.Row) bool {
	capacity := row.CapacityTokens()
	return row.Service || capacity == 0 || q.requiredTokens() <= capacity
}

func fitsNow(q *Query, row *backend.Row) bool {
	if row.Service || row.CapacityTokens() == 0 {
		return true
	}
	return q.requiredTokens() <= row.FreeTokens()
}

// acceptsWholeRequests reports whether the server both prefills and decodes.
func acceptsWholeRequests(row *backend.Row) bool {
	return row.Role == "" || row.Role == backend.RoleMixed
}

func isIdle(row *backend.Row) bool {
	return row.Load.Running == 0 && row.Load.Waiting == 0 && row.UnreportedRequests == 0
}

// shortShare returns ShortShare or its default.
func (q *Query) shortShare() float64 {
	if q.ShortShare == 0 {
		return defaultShortShare
	}
	return q.ShortShare
}

// requiredTokens is the KV memory, in tokens, that the request needs when it ends.
func (q *Query) requiredTokens() int64 { return q.PromptTokens + q.MaxTokens }

// isLong reports whether shorter prompts take precedence over the request's prefill.
func (q *Query) isLong() bool { return q.Class >= minLongClass }
