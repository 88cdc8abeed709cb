package engine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	client "github.com/briarturn/briarturn/engine"
	"github.com/briarturn/briarturn/internal/standin/answer"
)

// blockTokens is the number of tokens in one block of the prefix cache.
const blockTokens = client.PrefixBlockBytes / answer.TokenBytes

// maxEvents bounds the log of cache events; older ones are forgotten.
const maxEvents = 8192

type cacheEvent struct {
	Seq  uint64 `json:"seq"`
	Op   string `json:"op"`
	Hash uint64 `json:"hash,string"`
	at   time.Time
}

// prefixCache remembers block hashes, bounded, least recently used out first.
// Its events are published late and with gaps. Guarded by Server.mu.
type prefixCache struct {
	blocks *lru.Cache[uint64, struct{}]
	lag    time.Duration
	gap    int
	seq    uint64
	events []cacheEvent
}

func newPrefixCache(cfg Config) *prefixCache {
	c := &prefixCache{lag: cfg.CacheLag, gap: cfg.CacheGap}
	size := cfg.PrefixCacheTokens / blockTokens
	if size <= 0 {
		return c
	}
	evicted := func(hash uint64, _ struct{}) { c.record("evict", hash) }
	c.blocks, _ = lru.NewWithEvict(size, evicted) // fails only on size <= 0
	return c
}

// lookup returns how many tokens of a prompt are cached.
func (c *prefixCache) lookup(prefix []uint64) int {
	if c.blocks == nil {
		return 0
	}
	for i, hash := range prefix {
		if _, ok := c.blocks.Get(hash); !ok {
			return i * blockTokens
		}
	}
	return len(prefix) * blockTokens
}

// store remembers a prompt's blocks, the last first: when the cache is full, the
// beginning of a prompt is what is worth keeping.
func (c *prefixCache) store(prefix []uint64) {
	if c.blocks == nil {
		return
	}
	for i := len(prefix) - 1; i >= 0; i-- {
		if known, _ := c.blocks.ContainsOrAdd(prefix[i], struct{}{}); !known {
			c.record("store", prefix[i])
		}
	}
}

func (c *prefixCache) record(op string, hash uint64) {
	c.seq++
	if c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Op: op,
		Hash: hash, at: time.Now()})
}

// after returns the published events with a number above n.
func (c *prefixCache) after(n uint64, now time.Time) []cacheEvent {
	out := []cacheEvent{}
	for _, e := range c.events {
		if e.Seq > n && now.Sub(e.at) >= c.lag {
			out = append(out, e)
		}
	}
	return out
}
