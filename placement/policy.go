package placement

// Policy is the rule by which a Planner chooses servers. All policies use the same ledger,
// so they can be compared on the same load.
type Policy string

// The supported policies.
const (
	// LeastLoss minimizes the expected loss of the request and of all other requests on the
	// chosen servers.
	LeastLoss Policy = "least_loss"
	// LeastRequests chooses the server with the fewest requests relative to its capacity
	// and uses no helpers. It is the baseline. It places a prompt that exceeds the memory of
	// one server on a single server all the same, which has no room for it.
	LeastRequests Policy = "least_requests"
)

// byRequestCount reports whether the query is placed by the number of requests alone.
func (p Policy) byRequestCount(q Query) bool {
	return q.Engine == nil || q.InputTokens == 0 || p == LeastRequests
}
