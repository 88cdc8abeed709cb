package placement

// Policy is how a Planner chooses servers. Policies share the ledger, so that one can
// be measured against another on the same work.
type Policy string

// Policies.
const (
	// LeastLoss weighs what a choice costs the request and all others there.
	LeastLoss Policy = "least_loss"
	// LeastRequests takes the server with the least requests for its capacity, and no
	// helpers: the baseline. A prompt beyond one server's memory finds no room by it.
	LeastRequests Policy = "least_requests"
)

// plain reports whether a query is placed by the number of requests alone.
func (p Policy) plain(q Query) bool {
	return q.Engine == nil || q.InputTokens == 0 || p == LeastRequests
}
