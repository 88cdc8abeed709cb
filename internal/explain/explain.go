// Package explain finds in the logs of gateways why a request ended as it did. It
// reads the JSON lines that docs/OPERATIONS.md describes, of any number of
// processes and files, and knows nothing but them.
package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
)

// ErrUnknownRequest: no line of a log bears the id.
const ErrUnknownRequest = errors.ConstError("no line of that request")

const (
	// lookBack is how long before a request lines of the process's state may bear on
	// it: the configuration may be 4.5 s old until requests are refused for it, and
	// the store was lost before that.
	lookBack = 10 * time.Second
	// company is how many of the requests that shared the server are told.
	company = 3
	// maxNotices is how many announcements of servers are told. They apply for longer than
	// lookBack.
	maxNotices = 10
)

// Report explains one request.
type Report struct {
	Request string `json:"request"`
	Cause   string `json:"cause"`
	// Own are the lines with the request's id.
	Own []Line `json:"own"`
	// State are the changes and losses that its process logged while it ran, or
	// shortly before, and the latest announcements of servers in their responses.
	State []Line `json:"state"`
	// Company are the requests with the most reading on the same server meanwhile.
	Company []Line `json:"company"`
	// Overtakers are the first requests of its process that came later and had room before it.
	Overtakers []Line `json:"overtakers,omitempty"`
}

// Request explains the request with an id. Lines may be in any order.
func Request(lines []Line, id string) (*Report, error) {
	r := &Report{Request: id}
	for _, l := range lines {
		if l.Request == id {
			r.Own = append(r.Own, l)
		}
	}
	if len(r.Own) == 0 {
		return nil, errors.Annotatef(ErrUnknownRequest, "%q in %d lines", id, len(lines))
	}
	slices.SortStableFunc(r.Own, byTime)
	end, ok := r.ending()
	if !ok {
		r.Cause = "the request has no line of its end: it still ran, the process ended before it, or the line was thinned out, as those of requests that went well are"
		return r, nil
	}
	r.State = stateAround(lines, end)
	r.Company = companyOf(lines, end)
	overtakers := overtakersOf(lines, end)
	r.Overtakers = overtakers[:min(len(overtakers), maxOvertaking)]
	r.Cause = causeOf(end, r) + waitText(end, overtakers)
	return r, nil
}

// ending returns the line that tells how the request ended.
func (r *Report) ending() (Line, bool) {
	for _, l := range slices.Backward(r.Own) {
		if l.Message == messageRequest {
			return l, true
		}
	}
	return Line{}, false
}

// stateAround returns what the process of a request logged of itself and of what it
// depends on, from some time before the request until its end.
func stateAround(lines []Line, end Line) []Line {
	var out []Line
	from := end.begun().Add(-lookBack)
	for _, l := range lines {
		if l.Request == "" && l.Message != messageRequest && l.Node == end.Node && !l.Time.Before(from) && !l.Time.After(end.Time) {
			out = append(out, l)
		}
	}
	out = append(out, noticesBefore(lines, end)...)
	slices.SortStableFunc(out, byTime)
	return out
}

// noticesBefore returns the latest announcements of servers that the process of a request received
// before its end, in the responses to other requests.
func noticesBefore(lines []Line, end Line) []Line {
	var out []Line
	for _, l := range lines {
		notice := slices.Contains(noticeMessages, l.Message) && l.Request != end.Request
		if notice && l.Node == end.Node && !l.Time.After(end.Time) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out[max(len(out)-maxNotices, 0):]
}

// companyOf returns the requests that had the longest reading on the server of one
// while it ran.
func companyOf(lines []Line, end Line) []Line {
	var out []Line
	for _, l := range lines {
		shared := l.Message == messageRequest && l.Request != end.Request && l.Server != "" && l.Server == end.Server
		if shared && l.begun().Before(end.Time) && l.Time.After(end.begun()) && l.PartMS > 0 {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(b.PartMS, a.PartMS) })
	return out[:min(len(out), company)]
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// causes tell what each outcome follows from.
var causes = map[string]func(end Line, r *Report) string{
	"answered":            answered,
	"caller_gone":         outOfTime,
	"timeout":             outOfTime,
	"broken_off":          brokenOff,
	"stale_configuration": stale,
	"unconfirmed_configuration": func(end Line, r *Report) string {
		return "the configuration doesn't allow it, and a newer one may; " + stale(end, r)
	},
	"no_configuration": func(Line, *Report) string {
		return "the process had read no configuration yet"
	},
	"no_route": func(end Line, _ *Report) string {
		return fmt.Sprintf("configuration %d, proved current %d ms before, has no such route", end.Revision, end.AgeMS)
	},
	"unknown_key": func(end Line, _ *Report) string {
		return fmt.Sprintf("configuration %d, proved current %d ms before, has no such key", end.Revision, end.AgeMS)
	},
	"no_server": func(_ Line, r *Report) string {
		return "no backend server could take it; " + r.attempts()
	},
	"servers_refused": func(_ Line, r *Report) string {
		return "every server tried refused; " + r.attempts()
	},
	"queue_full": func(end Line, _ *Report) string {
		return fmt.Sprintf("as many requests as may waited for room on the servers already; its caller was asked to return after %d ms", end.RetryAfterMS)
	},
	"no_time": func(end Line, _ *Report) string {
		if end.ForecastMS == 0 {
			return fmt.Sprintf("no room on the servers was expected for it before its caller would leave; its caller was asked to return after %d ms", end.RetryAfterMS)
		}
		return fmt.Sprintf("by the forecast, %d ms, its answer would have come long after its caller's time", end.ForecastMS)
	},
	"outcome_unknown": func(_ Line, r *Report) string {
		return "an attempt ended without proof that it had not run; " + r.attempts()
	},
	"kills_servers": func(Line, *Report) string {
		return "requests with the same workspace, host, path, body and prompt ended servers before it (lines \"server died under a request\")"
	},
	"prompt_part_kills_servers": func(Line, *Report) string {
		return "servers died under requests with one of the parts of its prompt (lines \"server of broken attempt checked\")"
	},
	"prompt_part_suspected": func(Line, *Report) string {
		return "servers died under requests with one of the parts of its prompt, so these run one at a time, and its turn didn't come soon"
	},
	"no_server_in_region": func(Line, *Report) string {
		return "no backend server stands in a region that its route and its workspace both allow"
	},
	"zones_evacuated": func(Line, *Report) string {
		return "all servers that it may run on stand in availability zones that operators have evacuated (lines \"availability zone changed\")"
	},
	"servers_cold": func(Line, *Report) string {
		return "all servers that are left are cold, and this process had sent them its share of what they bear"
	},
	"servers_draining": func(Line, *Report) string {
		return "all servers that it may run on drain; each announced that in a response (lines \"server announced that it drains\")"
	},
	"servers_back_off": func(Line, *Report) string {
		return "all servers that it may run on had refused requests of this process and wanted no others yet (lines \"server wants no requests for a time\")"
	},
	"servers_limited": func(Line, *Report) string {
		return "all servers that are left name a request rate, and this process had sent them its share of it (lines \"request limit of server changed\")"
	},
	"ending": func(Line, *Report) string {
		return "the process was shutting down"
	},
	"malformed":        badRequest,
	"header_too_large": badRequest,
	"body_too_large":   badRequest,
	"body_incomplete":  badRequest,
	"bodies_held": func(Line, *Report) string {
		return "the process held as many bytes of request bodies as it may"
	},
}

func causeOf(end Line, r *Report) string {
	cause, ok := causes[end.Outcome]
	if !ok {
		return fmt.Sprintf("outcome %q is not known to this tool", end.Outcome)
	}
	return cause(end, r)
}

func badRequest(end Line, _ *Report) string {
	return fmt.Sprintf("the request itself: %s", end.Outcome)
}

func answered(end Line, r *Report) string {
	if end.Status >= 500 {
		return fmt.Sprintf("a backend server failed with status %d and no other attempt was allowed (%s); %s", end.Status, limitText(end.Limit), r.attempts())
	}
	return fmt.Sprintf("it was answered with status %d after %d ms", end.Status, end.TookMS)
}

// lateForecast is the factor over the forecast from which a first byte counts as
// not foreseen: forecasts are off by a tenth, pauses of a process by some more.
const lateForecast = 2

func outOfTime(end Line, r *Report) string {
	switch {
	case end.Server == "":
		return "it was sent to no backend server in its time"
	case r.count(messageFailed) > 0:
		return "attempts failed until its time was up; " + r.attempts()
	case end.FirstMS == 0 && end.ForecastMS > 0:
		return fmt.Sprintf("server %s took it and sent nothing in %d ms; the first byte was expected after %d ms", end.Server, end.TookMS, end.ForecastMS)
	case end.FirstMS == 0:
		return fmt.Sprintf("server %s took it and sent nothing in %d ms", end.Server, end.TookMS)
	case end.ForecastMS > 0 && end.FirstMS > lateForecast*end.ForecastMS:
		return fmt.Sprintf("server %s was busier than known: first byte after %d ms, expected after %d ms", end.Server, end.FirstMS, end.ForecastMS)
	}
	return fmt.Sprintf("the answer was under way after %d ms and not whole after %d ms; longest pause %d ms", end.FirstMS, end.TookMS, end.PauseMS)
}

func brokenOff(end Line, r *Report) string {
	return fmt.Sprintf("the answer broke behind %d events and was not resumed (%s); %s", end.Events, limitText(end.Limit), r.attempts())
}

func stale(end Line, r *Report) string {
	text := fmt.Sprintf("configuration %d was last proved current %d ms before", end.Revision, end.AgeMS)
	lost, ok := r.storeLost()
	if !ok {
		return text + "; no loss of the object API is logged: the process was paused, or its connection was silent"
	}
	return text + "; the object API was lost: " + lost.Error
}

// storeLost returns the line of the earliest loss of a watch that had not resumed.
func (r *Report) storeLost() (Line, bool) {
	lost := map[string]Line{}
	for _, l := range r.State {
		switch l.Message {
		case messageLost:
			lost[l.Kind] = l
		case messageResumed:
			delete(lost, l.Kind)
		}
	}
	if len(lost) == 0 {
		return Line{}, false
	}
	return slices.MinFunc(slices.Collect(maps.Values(lost)), byTime), true
}

// attempts counts what became of a request's attempts.
func (r *Report) attempts() string {
	text := fmt.Sprintf("attempts that failed %d, were refused %d, were given up before they began %d, broke %d", r.count(messageFailed),
		r.count(messageRefused)+r.count(messageNoMemory), r.count(messageGivenUp), r.count(messageStreamBroke)+r.count(messageAnswerBroke)+r.count(messageServerFailed))
	if moved := r.count(messageMoved); moved > 0 {
		text += fmt.Sprintf(", were moved since they showed nothing %d", moved)
	}
	return text
}

func (r *Report) count(message string) int {
	n := 0
	for _, l := range r.Own {
		if l.Message == message {
			n++
		}
	}
	return n
}

// limitText says in words which limit ended the attempts.
func limitText(limit string) string {
	switch limit {
	case "":
		return "it may not run twice"
	case "time":
		return "its time was up"
	case "dials":
		return "too many servers could not be connected to"
	case "attempts":
		return "the route allows no more attempts"
	case "budget":
		return "the shared budget of retries was used up"
	}
	return limit
}
