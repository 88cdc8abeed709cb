// Package routing chooses backend servers for a request in typed stages:
// filters drop servers that can't serve it, scorers estimate what each would
// cost, and a picker ranks them. It does no I/O; time and randomness are
// arguments.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
)

// Query is what a decision is made for.
type Query struct {
	Pool         string
	Model        string
	Adapter      string
	Zone         string // the entry's
	Region       string
	Class        request.Class
	PromptTokens int64
	MaxTokens    int64
	Prefix       []uint64
	// ShortShare is the part of the pool that long prompts leave to shorter
	// ones as far as possible. Zero means a quarter, negative none.
	ShortShare  float64
	RequireIdle bool     // a suspect: wants an idle server
	Exclude     []string // names already tried
	Now         time.Time
	Deadline    time.Time
}

// Choice is one ranked candidate. It is a copy: the table may change meanwhile.
type Choice struct {
	Name          string
	Zone          string
	RPCAddress    string
	EngineAddress string
	Incarnation   uint64
	ExpectedTTFT  time.Duration // estimated time to first token
	QueueWait     time.Duration // the part of Expected before its own prefill; 0: not estimated
	CachedTokens  int64         // hint only
	FreeTokens    int64         // capacity less used and held, as far as known
}

// Policy ranks the servers of a pool for one query. Implementations are safe
// for concurrent use and append to out, best first, at most max choices.
type Policy interface {
	Name() string
	Choose(q *Query, rows []backend.Row, rnd *rand.Rand, max int, out []Choice) []Choice
}
