// Package routing chooses backend servers for a request in stages: filters exclude
// servers that can't serve it, scorers estimate the cost of each remaining one, and a
// picker ranks them. It does no I/O; time and randomness are arguments.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
)

// Query describes the request that a decision is made for.
type Query struct {
	Pool         string
	Model        string
	Adapter      string
	Zone         string // of the entry
	Region       string
	Class        request.Class
	PromptTokens int64
	MaxTokens    int64
	Prefix       []uint64
	// ShortShare is the fraction of the pool that long prompts avoid in favor of shorter
	// ones where possible. Zero means a quarter, negative none.
	ShortShare float64
	PreferIdle bool     // prefer an idle server, for a prompt suspected of crashing engines
	Exclude    []string // names of servers already tried
	Now        time.Time
	Deadline   time.Time
}

// Choice is one ranked candidate. It is a copy, because the table may change afterwards.
type Choice struct {
	Name          string
	Zone          string
	RPCAddress    string
	EngineAddress string
	Incarnation   uint64
	ExpectedTTFT  time.Duration // estimated time to first token
	QueueWait     time.Duration // part of ExpectedTTFT before the request's own prefill; 0: not estimated
	CachedTokens  int64         // a hint only
	FreeTokens    int64         // capacity less used and held tokens, as far as known
}

// Policy ranks the servers of a pool for one query. Implementations are safe for
// concurrent use and append at most max choices to out, best first.
type Policy interface {
	Name() string
	Choose(q *Query, rows []backend.Row, rnd *rand.Rand, max int, out []Choice) []Choice
}
