package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"
)

// Messages that a request's story is told by.
const (
	messageRequest      = "request"
	messageFailed       = "attempt failed"
	messageRefused      = "attempt refused"
	messageNoMemory     = "memory not reserved"
	messageGivenUp      = "attempt given up, not begun"
	messageMoved        = "attempt moved, nothing shown"
	messageStreamBroke  = "stream broke"
	messageAnswerBroke  = "answer broke"
	messageServerFailed = "server failed"
	messageLost         = "watch of the object API lost"
	messageResumed      = "watch of the object API resumed"
	messageCall         = "object API call" // at level debug
)

// noticeMessages report what a server announced in its response to some request.
var noticeMessages = []string{
	"server announced that it drains", "server wants no requests for a time", "request limit of server changed",
}

// Line is one line of a log. Fields that only some lines have are zero in others.
type Line struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node,omitempty"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Error   string    `json:"error,omitempty"`
	Kind    string    `json:"kind,omitempty"` // of the objects that a watch is for
	Request string    `json:"request,omitempty"`
	Server  string    `json:"server,omitempty"`

	Call   string `json:"call,omitempty"`   // of the object API
	Reason string `json:"reason,omitempty"` // of that call

	Outcome    string `json:"outcome,omitempty"`
	Limit      string `json:"limit,omitempty"`
	Status     int    `json:"status,omitempty"`
	Revision   uint64 `json:"revision,omitempty"`
	AgeMS      int64  `json:"age_ms,omitempty"`
	TookMS     int64  `json:"took_ms,omitempty"`
	FirstMS    int64  `json:"first_ms,omitempty"`
	ForecastMS int64  `json:"forecast_ms,omitempty"`
	PartMS     int64  `json:"part_ms,omitempty"`
	PauseMS    int64  `json:"pause_ms,omitempty"`
	Events     int64  `json:"events,omitempty"`

	PlacedMS     int64  `json:"placed_ms,omitempty"`
	WaitedMS     int64  `json:"waited_ms,omitempty"`
	Turns        int    `json:"turns,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Workspace    string `json:"workspace,omitempty"`

	Tokens       int64 `json:"tokens,omitempty"`
	ObjectiveMS  int64 `json:"objective_ms,omitempty"`
	PauseLimitMS int64 `json:"pause_limit_ms,omitempty"`

	Text string `json:"-"` // as it was logged
}

// begun is when the request of a line began.
func (l Line) begun() time.Time {
	return l.Time.Add(-time.Duration(l.TookMS) * time.Millisecond)
}

// maxLine bounds a line; a longer one is no line of ours.
const maxLine = 1 << 20

// Read reads the lines of a log. What stands before the first brace of a line, as
// collectors put it, is left out; lines that aren't JSON objects with a message are
// counted in skipped.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		line, ok := parse(text)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Annotate(scanner.Err(), "step read log")
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{Text: string(text[start:])}
	if err := json.Unmarshal(text[start:], &line); err != nil || line.Message == "" {
		return Line{}, false
	}
	return line, true
}
