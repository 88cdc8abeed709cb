package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxOvertaking is how many of the requests that were sent before one that waited are told.
const maxOvertaking = 5

// overtakersOf returns the requests that came to the same process after one that waited for room,
// with the same objective, and were sent before it was, or before it was refused. Routine lines are
// thinned out under load, so that there may have been more.
func overtakersOf(lines []Line, end Line) []Line {
	if end.WaitedMS == 0 {
		return nil
	}
	until := end.roomAt()
	var out []Line
	for _, l := range lines {
		rival := l.Message == messageRequest && l.Request != end.Request && l.Node == end.Node &&
			l.ObjectiveMS == end.ObjectiveMS && l.Server != ""
		if rival && l.begun().After(end.begun()) && l.roomAt().Before(until) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.roomAt().Compare(b.roomAt()) })
	return out
}

// roomAt is when the request of a line had room, or ended without.
func (l Line) roomAt() time.Time {
	if l.Server == "" {
		return l.Time
	}
	return l.begun().Add(time.Duration(l.PlacedMS) * time.Millisecond)
}

// waitText tells how long a request waited for room and which workspaces' requests overtook it;
// empty if it didn't wait.
func waitText(end Line, overtakers []Line) string {
	if end.WaitedMS == 0 {
		return ""
	}
	text := fmt.Sprintf("; it waited %d ms for room on the servers and looked for some %d times", end.WaitedMS, end.Turns)
	if end.ObjectiveMS > 0 && end.WaitedMS > end.ObjectiveMS {
		text += ", longer than its objective, so that requests that could be on time went first"
	}
	if len(overtakers) == 0 {
		return text
	}
	return text + fmt.Sprintf("; %d that came later were sent before it: %s", len(overtakers), countWorkspaces(overtakers))
}

// countWorkspaces lists the workspaces of some lines and their numbers, most first.
func countWorkspaces(lines []Line) string {
	counts := map[string]int{}
	for _, l := range lines {
		counts[workspaceOf(l)]++
	}
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(counts[b]-counts[a], strings.Compare(a, b))
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, counts[name])
	}
	return strings.Join(names, ", ")
}

// noWorkspace stands for requests whose route needs no key.
const noWorkspace = "(none)"

func workspaceOf(l Line) string { return cmp.Or(l.Workspace, noWorkspace) }
