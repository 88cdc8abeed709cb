package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
)

// needsGroup reports whether the prompt and its output exceed what one engine
// of the pool can hold, or would start sooner on several.
func (c *call) needsGroup() bool {
	if c.body == nil || c.spec.Class() == request.ClassShort {
		return false
	}
	known := c.capacities()
	if known.largest == 0 {
		return false
	}
	return c.spec.PromptTokens+c.spec.MaxTokens > known.largest || c.spread(known) >= minGroup
}

// spread returns over how many engines the prompt is spread for its time to
// first token: one for each SpreadTokens, and at most half of those known, so
// that two groups need not wait for each other.
func (c *call) spread(known capacities) int {
	if c.spec.Class() < request.ClassHuge || c.e.limits.TokensPerGroupMember < 0 {
		return 0
	}
	n := ceilDiv(c.spec.PromptTokens, c.e.limits.TokensPerGroupMember)
	return min(max(n, minGroup), known.servers/2, c.e.limits.MaxGroupMembers)
}

func ceilDiv(a, b int64) int { return int((a + b - 1) / b) }

// capacities is the KV memory of a sample of a pool's engines.
type capacities struct {
	servers           int // whose memory is known
	largest, smallest int64
}

// capacities looks at a sample of the pool's engines. If none is known it
// returns what is declared, 0 if not even that.
func (c *call) capacities() (known capacities) {
	buffer := rowsPool.Get().(*[]backend.Row)
	defer rowsPool.Put(buffer)
	*buffer = c.e.cfg.Servers.Sample(c.pool, routing.SampleSize(c.spec.Class()), nil, c.rnd, (*buffer)[:0])
	for i := range *buffer {
		n := (*buffer)[i].CapacityTokens()
		if n <= 0 {
			continue
		}
		known.servers++
		known.largest = max(known.largest, n)
		if known.smallest == 0 || n < known.smallest {
			known.smallest = n
		}
	}
	if known.servers == 0 {
		known.largest, known.smallest = c.engineTokens, c.engineTokens
	}
	return known
}

// groupSize returns how many engines the prompt is spread over.
func (c *call) groupSize() int {
	known := c.capacities()
	usable := max(int64(float64(known.smallest)*c.e.limits.GroupMemoryFraction), 1)
	needed := ceilDiv(c.spec.PromptTokens+c.spec.MaxTokens, usable)
	return max(minGroup, needed, c.spread(known))
}

// admitGroup refuses at once a prompt that no group may be large enough for.
func (c *call) admitGroup() *request.Failure {
	n := c.groupSize()
	if n <= c.e.limits.MaxGroupMembers {
		c.expectGroup(n)
		return nil
	}
	return notRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "admission",
		fmt.Sprintf("the prompt needs %d engines, the limit is %d", n, c.e.limits.MaxGroupMembers), 0)
}

// expectGroup estimates the time to first token on n members, for the queue.
func (c *call) expectGroup(n int) {
	share := c.spec.PromptTokens / int64(n)
	if best := c.rank(time.Now(), share, 0, 1); len(best) > 0 {
		c.expected = best[0].ExpectedTTFT
	}
}

// cut divides the text into n parts at character boundaries. The first is
// shorter by what its engine needs for the output, spread over all parts; it
// keeps at least one character, so that the leader is always a member.
func cut(text string, n, outputBytes int) []string {
	share := (len(text) + outputBytes) / n
	first := min(max(share-outputBytes, 1), len(text))
	parts := make([]string, 0, n)
	end := boundary(text, first)
	parts = append(parts, text[:end])
	for i := 1; i < n; i++ {
		begin := end
		end = boundary(text, begin+(len(text)-begin)/(n-i))
		parts = append(parts, text[begin:end])
	}
	return parts
}

// boundary returns the first index at or after i where a character begins.
func boundary(text string, i int) int {
	const continuation, mask = 0x80, 0xC0
	for i < len(text) && text[i]&mask == continuation {
		i++
	}
	return i
}
