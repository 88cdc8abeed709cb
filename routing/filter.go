package routing

import (
	"slices"

	"github.com/briarturn/briarturn/backend"
)

// tier ranks servers by what stands against them. Servers of a later tier are
// chosen only where no earlier one is left.
type tier uint8

const (
	tierFit     tier = iota // can take the request now
	tierWait                // would have to wait for memory, or isn't idle
	tierSuspect             // silent for too long
	tierUnfit               // can't serve the request at all
)

// filter returns the tier of a server for a query.
func filter(q *Query, row *backend.Row) tier {
	if !usable(q, row) {
		return tierUnfit
	}
	if row.State == backend.StateSuspect {
		return tierSuspect
	}
	if !fitsNow(q, row) || !roleFits(row) || (q.RequireIdle && !idle(row)) {
		return tierWait
	}
	return tierFit
}

// usable says whether the server may get the request at all.
func usable(q *Query, row *backend.Row) bool {
	if row.State == backend.StateLeaving || row.State == backend.StateDead || row.Load.Draining {
		return false
	}
	if !serves(q, row) || !everFits(q, row) {
		return false
	}
	return !slices.Contains(q.Exclude, row.Name)
}

// serves says whether the model and the adapter are present.
func serves(q *Query, row *backend.Row) bool {
	if row.Service {
		return true
	}
	if q.Model != "" && q.Model != row.Pool && !slices.Contains(row.Models, q.Model) {
		return false
	}
	return q.Adapter == "" || slices.Contains(row.Adapters, q.Adapter)
}

// everFits says whether the request fits into the server when it is empty. A
// server that doesn't say its capacity is left to refuse by itself.
func everFits(q *Query, row *backend.Row) bool {
	capacity := row.CapacityTokens()
	return row.Service || capacity == 0 || q.needTokens() <= capacity
}

func fitsNow(q *Query, row *backend.Row) bool {
	if row.Service || row.CapacityTokens() == 0 {
		return true
	}
	return q.needTokens() <= row.FreeTokens()
}

// roleFits says whether the server is meant for whole requests.
func roleFits(row *backend.Row) bool {
	return row.Role == "" || row.Role == backend.RoleMixed
}

func idle(row *backend.Row) bool {
	return row.Load.Running == 0 && row.Load.Waiting == 0 && row.OwnRunning == 0
}

// needTokens is the KV memory that the request needs at its end.
func (q *Query) shortShare() float64 {
	if q.ShortShare == 0 {
		return defaultShortShare
	}
	return q.ShortShare
}

func (q *Query) needTokens() int64 { return q.PromptTokens + q.MaxTokens }

// long says whether the request's prefill yields to shorter ones.
func (q *Query) long() bool { return q.Class >= longClass }
