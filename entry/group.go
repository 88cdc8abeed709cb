package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/wire/wirepb"
)

const (
	// minGroup is the smallest group: with two members, one that dies takes half
	// of the prompt's cache, and a prompt just above one engine's memory would
	// fill both to the brim.
	minGroup = 3
	// holdSlackDivisor adds a twentieth to each hold, since prompt tokens are
	// estimated until the engine has counted them.
	holdSlackDivisor = 20
	// extendsPerTTL is how often holds are extended within their TTL: two
	// extensions may be lost before a hold lapses.
	extendsPerTTL = 3
)

// errHoldLost: an agent no longer knows a hold, or could not be reached until
// it must have lapsed. What ran on it may have been cancelled.
const errHoldLost = errors.ConstError("a group's hold was lost")

// member is one engine of a group and its part of the prompt. Member 0 leads:
// it holds room for the output besides, and generates it.
type member struct {
	routing.Choice
	index    int
	text     []byte
	tokens   int64 // of the text, estimated
	reserve  int64 // of the hold
	holdID   string
	asked    bool // the agent may know the hold, as granted or waiting
	granted  bool
	renewals int // makes the ids of later holds on the same agent differ
	handle   string
	actual   uint64 // tokens of the segment as the engine counted them
}

// group is a set of engines that one long prompt is spread over.
type group struct {
	c       *call
	name    string
	members []*member
	// ordered lists the members by server key, the order in which every entry
	// asks for holds.
	ordered []*member
}

// groupAttempt runs one attempt on a group: holds, segments, then the leader.
// It returns false if the pool has too few servers to ask.
func (c *call) groupAttempt(parent context.Context) (result, bool) {
	g, ok := c.newGroup()
	if !ok {
		return result{}, false
	}
	defer g.releaseLater()
	if refused := g.acquire(parent); refused != nil {
		c.e.meters.holdFail.Inc(1)
		return *refused, true
	}
	c.e.meters.groups.Inc(1)
	ctx, cancel := context.WithCancelCause(parent)
	defer g.extend(ctx, cancel)()
	defer g.count()()
	c.reach(request.Dispatched)
	if failed := g.prefill(ctx); failed != nil {
		return *failed, true
	}
	return c.exchange(ctx, g.members[0].Choice, g.leaderStart()), true
}

// newGroup picks the members and cuts the prompt.
func (c *call) newGroup() (*group, bool) {
	n := c.groupSize()
	total := c.spec.PromptTokens + c.spec.MaxTokens
	share := (total + int64(n) - 1) / int64(n)
	choices := c.rank(time.Now(), share, 0, n)
	if len(choices) < n {
		return nil, false
	}
	g := &group{c: c, name: fmt.Sprintf("%s.g%d", c.spec.ID, c.groups)}
	c.groups++
	parts := cut(c.body.text(), n, int(min(c.spec.MaxTokens*bytesPerToken, 1<<30)))
	for i, choice := range choices {
		m := &member{Choice: choice, index: i, text: []byte(parts[i]), tokens: tokensOf(len(parts[i]))}
		m.reserve = m.tokens + m.tokens/holdSlackDivisor
		if i == 0 {
			m.reserve += c.spec.MaxTokens
		}
		m.holdID = g.holdID(m)
		g.members = append(g.members, m)
	}
	g.ordered = slices.Clone(g.members)
	slices.SortFunc(g.ordered, func(a, b *member) int {
		if backend.KeyOf(a.Name) < backend.KeyOf(b.Name) {
			return -1
		}
		return 1
	})
	return g, true
}

// count counts the group's work in the table of backend servers.
func (g *group) count() (done func()) {
	rows := g.c.e.cfg.Servers
	now := time.Now()
	var dispatches []backend.Dispatch
	for _, m := range g.members {
		work := backend.DispatchLoad{Prefill: m.tokens, Tokens: m.reserve, Long: true}
		dispatches = append(dispatches, rows.BeginDispatch(m.Name, work, now))
	}
	return func() {
		for _, d := range dispatches {
			rows.EndDispatch(d)
		}
	}
}

// prefill has all members prefill their segments, in parallel. The first
// failure stops the others and is returned.
func (g *group) prefill(parent context.Context) *result {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var wg sync.WaitGroup
	var once, sending sync.Once
	var failed *result
	// All Starts are made first: each names all members, which the goroutines
	// change.
	starts := make([]*wirepb.Start, len(g.members))
	for i, m := range g.members {
		starts[i] = g.segmentStart(m)
	}
	for i, m := range g.members {
		wg.Go(func() {
			res := g.prefillOne(ctx, m, starts[i], func() { sending.Do(g.c.sending) })
			if res != nil {
				once.Do(func() { failed = res })
				cancel()
			}
		})
	}
	wg.Wait()
	return failed
}

// prefillOne prefills one segment. An agent whose share for long prefill is
// taken is asked again: the memory is held already, and giving it up would cost
// all members their work.
func (g *group) prefillOne(ctx context.Context, m *member, start *wirepb.Start, sending func()) *result {
	for {
		res := g.c.e.exchange(ctx, m.Choice, start, m.text, hooks{sending: sending})
		if waitsForMemory(res.refuse) && ctx.Err() == nil {
			start.Attempt = g.c.life.BeginAttempt()
			sleep.For(ctx, backoffMost/2)
			continue
		}
		if res.end.GetCode() == wirepb.EndCode_END_OK && res.end.GetHandle() != "" {
			m.handle = res.end.GetHandle()
			m.actual = res.end.GetPromptTokens()
			return nil
		}
		if res.end.GetCode() == wirepb.EndCode_END_OK {
			res.err = errors.Annotatef(errUnexpected, "step segment, peer %s, no handle", m.Name)
		}
		return &res
	}
}

func (g *group) segmentStart(m *member) *wirepb.Start {
	start := g.c.start()
	start.Kind = wirepb.Kind_KIND_KV_SEGMENT
	start.PromptTokens = uint64(m.tokens)
	start.MaxTokens = 0
	start.BodyBytes = uint64(len(m.text))
	start.HoldId = m.holdID
	start.Segment = uint32(m.index)
	start.Stream = false
	start.ResumeFrom, start.PriorText = 0, nil
	start.Group = g.wire()
	return start
}

// leaderStart is the Start of the run that generates. Its prompt is in memory
// already, so the hold has to pay only for the output.
func (g *group) leaderStart() *wirepb.Start {
	start := g.c.start()
	start.PromptTokens = 0
	start.Long = false
	start.HoldId = g.members[0].holdID
	start.Group = g.wire()
	return start
}

func (g *group) wire() []*wirepb.GroupMember {
	out := make([]*wirepb.GroupMember, 0, len(g.members))
	for _, m := range g.members {
		tokens := m.actual
		if tokens == 0 {
			tokens = uint64(m.tokens)
		}
		out = append(out, &wirepb.GroupMember{Server: m.Name, EngineAddress: m.EngineAddress,
			Handle: m.handle, Tokens: tokens})
	}
	return out
}
