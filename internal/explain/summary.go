package explain

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/briarturn/briarturn/request"
)

// Way is how a request ended, as its caller's objectives judge it.
type Way string

// Ways.
const (
	InTime    Way = "in time"
	LateFirst Way = "late by the first token"
	LatePause Way = "late by a pause"
	LateBoth  Way = "late by both"
	Broken    Way = "broken off" // or given up by the caller
	Refused   Way = "refused"
)

// Ways returns every Way, in the order of a table.
func Ways() []Way { return []Way{InTime, LateFirst, LatePause, LateBoth, Broken, Refused} }

// Row counts requests that have something in common.
type Row struct {
	Key      string      `json:"key"`
	Requests int         `json:"requests"`
	Ways     map[Way]int `json:"ways"`
	// Reasons counts refusals and failures by their outcome.
	Reasons map[string]int `json:"reasons"`
	// Lost is the number of callers without an answer, and half the number of those whose answer
	// was late.
	Lost float64 `json:"lost"`
}

// Summary is what became of the requests of a log, most of the loss first but for
// windows, which are in order of time. A request that was refused and came back counts
// each time: the log doesn't tell that they belong together.
type Summary struct {
	Lost    float64 `json:"lost"`
	Classes []Row   `json:"classes"` // by length of the prompt
	Windows []Row   `json:"windows"` // by when they came
	Servers []Row   `json:"servers"` // by the server that answered, of those that had one
	// Workspaces are rows by workspace.
	Workspaces []Row `json:"workspaces"`
	// Calls are those of the object API, most first; empty unless processes log at debug.
	Calls []CallRow `json:"calls,omitempty"`
}

// Summarize counts the requests of a log. Those with keys that nobody holds are left
// out: they are owed nothing.
func Summarize(lines []Line, window time.Duration) *Summary {
	classes, windows, servers, workspaces := table{}, table{}, table{}, table{}
	s := &Summary{}
	for _, l := range lines {
		if l.Message != messageRequest || l.Tokens == 0 || l.Outcome == outcomeNoKey {
			continue
		}
		s.Lost += lossOf(l)
		classes.add(request.ClassOf(l.Tokens).Name(), l)
		windows.add(l.begun().Truncate(window).Format(time.TimeOnly), l)
		workspaces.add(workspaceOf(l), l)
		if l.Server != "" {
			servers.add(l.Server, l)
		}
	}
	byLoss := func(a, b Row) int { return cmp.Compare(b.Lost, a.Lost) }
	s.Classes = classes.rows(byLoss)
	s.Windows = windows.rows(func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	s.Servers = servers.rows(byLoss)
	s.Workspaces = workspaces.rows(byLoss)
	s.Calls = countCalls(lines)
	return s
}

// outcomeNoKey is the outcome of a request whose key no workspace holds.
const outcomeNoKey = "unknown_key"

// wayOf judges a request by the objectives that its line states.
func wayOf(l Line) Way {
	switch {
	case l.Outcome == "answered" && l.Status < http.StatusInternalServerError:
		late := l.ObjectiveMS > 0 && l.FirstMS > l.ObjectiveMS
		paused := l.PauseLimitMS > 0 && l.PauseMS > l.PauseLimitMS
		switch {
		case late && paused:
			return LateBoth
		case late:
			return LateFirst
		case paused:
			return LatePause
		}
		return InTime
	case l.Outcome == "broken_off" || l.Outcome == "caller_gone":
		return Broken
	}
	return Refused
}

// lateLoss is what a caller lost whose answer was late: one of two promises, the objective of the
// route and the caller's own time.
const lateLoss = 0.5

// lossOf is what a request's caller lost: 1 if it has no answer.
func lossOf(l Line) float64 {
	switch wayOf(l) {
	case InTime:
		return 0
	case Broken, Refused:
		return 1
	}
	return lateLoss
}

// table collects rows by their key.
type table map[string]*Row

func (t table) add(key string, l Line) {
	r := t[key]
	if r == nil {
		r = &Row{Key: key, Ways: map[Way]int{}, Reasons: map[string]int{}}
		t[key] = r
	}
	way := wayOf(l)
	r.Requests++
	r.Ways[way]++
	r.Lost += lossOf(l)
	if way == Refused || way == Broken {
		r.Reasons[l.Outcome]++
	}
}

func (t table) rows(order func(a, b Row) int) []Row {
	out := make([]Row, 0, len(t))
	for _, r := range slices.SortedFunc(maps.Values(t), func(a, b *Row) int { return order(*a, *b) }) {
		out = append(out, *r)
	}
	return out
}
