package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
)

// needsGroup reports whether the prompt and its output exceed the memory of
// any engine of the pool, or the prompt should be spread over several engines
// to reduce its time to first token.
func (c *call) needsGroup() bool {
	if c.body == nil || c.spec.Class() == request.ClassShort {
		return false
	}
	known := c.sampleCapacity()
	if known.largest == 0 {
		return false
	}
	return c.spec.PromptTokens+c.spec.MaxTokens > known.largest || c.spreadMembers(known) >= minGroupMembers
}

// spreadMembers returns the number of engines over which the prompt is spread
// to reduce its time to first token, 0 for none: one for each
// TokensPerGroupMember tokens, but at most half of the known servers, so that
// two groups needn't wait for each other.
func (c *call) spreadMembers(known poolCapacity) int {
	if c.spec.Class() < request.ClassHuge || c.e.limits.TokensPerGroupMember < 0 {
		return 0
	}
	n := ceilDiv(c.spec.PromptTokens, c.e.limits.TokensPerGroupMember)
	return min(max(n, minGroupMembers), known.servers/2, c.e.limits.MaxGroupMembers)
}

func ceilDiv(a, b int64) int { return int((a + b - 1) / b) }

// poolCapacity summarizes the KV memory of a sample of a pool's engines, in
// tokens.
type poolCapacity struct {
	servers           int // servers with known memory
	largest, smallest int64
}

// sampleCapacity returns the KV memory of a sample of the pool's engines. If no
// sampled engine reports its memory, it returns the declared one, 0 if unknown.
func (c *call) sampleCapacity() (known poolCapacity) {
	buffer := rowBuffers.Get().(*[]backend.Row)
	defer rowBuffers.Put(buffer)
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

// groupSize returns the number of engines that the prompt needs.
func (c *call) groupSize() int {
	known := c.sampleCapacity()
	usable := max(int64(float64(known.smallest)*c.e.limits.GroupMemoryFraction), 1)
	needed := ceilDiv(c.spec.PromptTokens+c.spec.MaxTokens, usable)
	return max(minGroupMembers, needed, c.spreadMembers(known))
}

// admitGroup refuses a prompt that needs a group larger than MaxGroupMembers.
func (c *call) admitGroup() *request.Failure {
	n := c.groupSize()
	if n <= c.e.limits.MaxGroupMembers {
		c.estimateGroupTTFT(n)
		return nil
	}
	return notRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "admission",
		fmt.Sprintf("the prompt needs %d engines, the limit is %d", n, c.e.limits.MaxGroupMembers), 0)
}

// estimateGroupTTFT estimates the time to first token on n members, for the
// scheduler.
func (c *call) estimateGroupTTFT(n int) {
	share := c.spec.PromptTokens / int64(n)
	if best := c.chooseServers(time.Now(), share, 0, 1); len(best) > 0 {
		c.expect(best[0])
	}
}

// splitPrompt splits text into n parts at character boundaries, of about equal
// size after the output is added to the first part. The first part has at
// least one character unless text is empty, so that the leader always has a
// segment.
func splitPrompt(text string, n, outputBytes int) []string {
	share := (len(text) + outputBytes) / n
	first := min(max(share-outputBytes, 1), len(text))
	parts := make([]string, 0, n)
	end := nextRuneStart(text, first)
	parts = append(parts, text[:end])
	for i := 1; i < n; i++ {
		begin := end
		end = nextRuneStart(text, begin+(len(text)-begin)/(n-i))
		parts = append(parts, text[begin:end])
	}
	return parts
}

// nextRuneStart returns the first index at or after i where a UTF-8 character
// starts.
func nextRuneStart(text string, i int) int {
	const continuation, mask = 0x80, 0xC0
	for i < len(text) && text[i]&mask == continuation {
		i++
	}
	return i
}
