package explain

import (
	"cmp"
	"maps"
	"slices"
)

// CallRow counts calls of the object API that were made for the same reason.
type CallRow struct {
	Kind    string `json:"kind"`
	Call    string `json:"call"`
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	Calls   int    `json:"calls"`
	Nodes   int    `json:"nodes"` // that made any
	Most    int    `json:"most"`  // of one node
}

// callKey is what calls of one row have in common.
type callKey struct{ kind, call, reason, outcome string }

// countCalls counts the calls of the object API that a log tells of.
func countCalls(lines []Line) []CallRow {
	byNode := map[callKey]map[string]int{}
	for _, l := range lines {
		if l.Message != messageCall {
			continue
		}
		key := callKey{l.Kind, l.Call, l.Reason, l.Outcome}
		if byNode[key] == nil {
			byNode[key] = map[string]int{}
		}
		byNode[key][l.Node]++
	}
	var out []CallRow
	for key, nodes := range byNode {
		r := CallRow{Kind: key.kind, Call: key.call, Reason: key.reason, Outcome: key.outcome, Nodes: len(nodes)}
		for n := range maps.Values(nodes) {
			r.Calls += n
			r.Most = max(r.Most, n)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, compareCalls)
	return out
}

// compareCalls orders rows by their calls, most first, and equal ones by name.
func compareCalls(a, b CallRow) int {
	return cmp.Or(
		cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason),
		cmp.Compare(a.Call, b.Call), cmp.Compare(a.Outcome, b.Outcome),
	)
}
