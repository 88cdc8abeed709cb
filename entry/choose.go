package entry

import (
	"sync"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/routing"
)

var rowsPool = sync.Pool{New: func() any { return new([]backend.Row) }}

// choose asks the policy for the best server not yet excluded.
func (c *call) choose(now time.Time) (routing.Choice, bool) {
	choices := c.rank(now, c.spec.PromptTokens, c.spec.MaxTokens, 1)
	if len(choices) == 0 {
		return routing.Choice{}, false
	}
	return choices[0], true
}

// rank returns up to most choices for a prompt of that many tokens. In a large
// pool it looks at a sample, and at all rows only if the sample has none.
func (c *call) rank(now time.Time, prompt, output int64, most int) []routing.Choice {
	buffer := rowsPool.Get().(*[]backend.Row)
	defer rowsPool.Put(buffer)
	q := routing.Query{
		Pool:         c.pool,
		Model:        c.spec.Model,
		Adapter:      c.spec.Adapter,
		Zone:         c.e.cfg.Zone,
		Region:       c.e.cfg.Region,
		Class:        c.spec.Class(),
		PromptTokens: prompt,
		MaxTokens:    output,
		Prefix:       c.spec.PrefixHashes,
		ShortShare:   c.shortShare,
		PreferIdle:   c.alone,
		Exclude:      c.exclude,
		Now:          now,
		Deadline:     c.spec.Deadline,
	}
	rows := c.e.cfg.Servers.Sample(c.pool, routing.SampleSize(c.spec.Class()), c.holders(), c.rnd, (*buffer)[:0])
	*buffer = rows
	choices := c.policy.Choose(&q, rows, c.rnd, most, nil)
	if len(choices) >= most || len(rows) < routing.SampleSize(c.spec.Class()) {
		return choices
	}
	rows = c.e.cfg.Servers.Rows(c.pool, rows[:0])
	*buffer = rows
	return c.policy.Choose(&q, rows, c.rnd, most, choices[:0])
}

// holders returns the keys of servers that may have the prompt cached.
func (c *call) holders() []uint64 {
	if c.e.cfg.Prefixes == nil || len(c.spec.PrefixHashes) == 0 {
		return nil
	}
	var keys []uint64
	for _, h := range c.e.cfg.Prefixes.Holders(c.spec.PrefixHashes, make([]routing.Holder, 0, holdersAsked)) {
		keys = append(keys, h.Key)
	}
	return keys
}
