package entry

import (
	"sync"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/routing"
)

var rowBuffers = sync.Pool{New: func() any { return new([]backend.Row) }}

// chooseServer returns the policy's best server that isn't excluded.
func (c *call) chooseServer(now time.Time) (routing.Choice, bool) {
	choices := c.chooseServers(now, c.spec.PromptTokens, c.spec.MaxTokens, 1)
	if len(choices) == 0 {
		return routing.Choice{}, false
	}
	return choices[0], true
}

// chooseServers returns up to limit servers for a prompt and output of the
// given numbers of tokens, best first. In a large pool it considers a sample,
// and all rows only if the sample yields fewer than limit.
func (c *call) chooseServers(now time.Time, prompt, output int64, limit int) []routing.Choice {
	buffer := rowBuffers.Get().(*[]backend.Row)
	defer rowBuffers.Put(buffer)
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
		PreferIdle:   c.runAlone,
		Exclude:      c.excluded,
		Now:          now,
		Deadline:     c.spec.Deadline,
	}
	rows := c.e.cfg.Servers.Sample(c.pool, routing.SampleSize(c.spec.Class()), c.cacheHolders(), c.rnd, (*buffer)[:0])
	*buffer = rows
	choices := c.policy.Choose(&q, rows, c.rnd, limit, nil)
	if len(choices) >= limit || len(rows) < routing.SampleSize(c.spec.Class()) {
		return choices
	}
	rows = c.e.cfg.Servers.Rows(c.pool, rows[:0])
	*buffer = rows
	return c.policy.Choose(&q, rows, c.rnd, limit, choices[:0])
}

// cacheHolders returns the keys of servers that may have the prompt's prefix
// cached.
func (c *call) cacheHolders() []uint64 {
	if c.e.cfg.Prefixes == nil || len(c.spec.PrefixHashes) == 0 {
		return nil
	}
	var keys []uint64
	for _, h := range c.e.cfg.Prefixes.Holders(c.spec.PrefixHashes, make([]routing.Holder, 0, maxCacheHolders)) {
		keys = append(keys, h.Key)
	}
	return keys
}
