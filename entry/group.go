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
	// minGroupMembers is the minimum size of a group. With two members, the
	// death of one loses half of the prompt's cache, and a prompt slightly
	// larger than one engine's memory would almost fill both.
	minGroupMembers = 3
	// holdSlackDivisor adds 1/20 to each hold, since prompt tokens are estimated
	// until the engine has counted them.
	holdSlackDivisor = 20
	// extendsPerTTL is the number of hold extensions per TTL. Two extensions may
	// be lost before a hold expires.
	extendsPerTTL = 3
)

// errHoldLost reports that an agent no longer has a hold, or was unreachable
// for the hold's TTL. A run that uses the hold may have been cancelled.
const errHoldLost = errors.ConstError("a group's hold was lost")

// member is one engine of a group and its segment of the prompt. Member 0 is the
// leader: its hold also covers the output, which it generates.
type member struct {
	routing.Choice
	index          int
	text           []byte
	tokens         int64 // estimated tokens of text
	holdTokens     int64 // tokens to reserve with the hold
	holdID         string
	holdRequested  bool // the agent may have the hold, granted or queued
	holdGranted    bool
	holdGeneration int // part of holdID; makes the ids of successive holds on an agent differ
	handle         string
	countedTokens  uint64 // tokens of the segment as counted by the engine
}

// group is a set of engines that process one long prompt together.
type group struct {
	call    *call
	name    string
	members []*member
	// byKey lists the members by server key. All entries request holds in this
	// order, which prevents deadlocks between groups.
	byKey []*member
}

// groupAttempt runs one attempt on a group: it acquires the holds, prefills the
// segments and then runs the leader. It returns false if the pool has too few
// candidate servers.
func (c *call) groupAttempt(parent context.Context) (result, bool) {
	g, ok := c.newGroup()
	if !ok {
		return result{}, false
	}
	defer g.releaseInBackground()
	if refused := g.acquireHolds(parent); refused != nil {
		c.e.metrics.holdsFailed.Inc(1)
		return *refused, true
	}
	c.e.metrics.groups.Inc(1)
	ctx, cancel := context.WithCancelCause(parent)
	defer g.extendHolds(ctx, cancel)()
	defer g.countDispatches()()
	c.ensureState(request.Dispatched)
	if failed := g.prefillSegments(ctx); failed != nil {
		return *failed, true
	}
	return c.runAttempt(ctx, g.members[0].Choice, g.leaderStart()), true
}

// newGroup chooses the members and splits the prompt into their segments.
func (c *call) newGroup() (*group, bool) {
	n := c.groupSize()
	total := c.spec.PromptTokens + c.spec.MaxTokens
	share := (total + int64(n) - 1) / int64(n)
	choices := c.chooseServers(time.Now(), share, 0, n)
	if len(choices) < n {
		return nil, false
	}
	g := &group{call: c, name: fmt.Sprintf("%s.g%d", c.spec.ID, c.groupCount)}
	c.groupCount++
	parts := splitPrompt(c.body.text(), n, int(min(c.spec.MaxTokens*bytesPerToken, 1<<30)))
	for i, choice := range choices {
		m := &member{Choice: choice, index: i, text: []byte(parts[i]), tokens: estimateTokens(len(parts[i]))}
		m.holdTokens = m.tokens + m.tokens/holdSlackDivisor
		if i == 0 {
			m.holdTokens += c.spec.MaxTokens
		}
		m.holdID = g.holdID(m)
		g.members = append(g.members, m)
	}
	g.byKey = slices.Clone(g.members)
	slices.SortFunc(g.byKey, func(a, b *member) int {
		if backend.KeyOf(a.Name) < backend.KeyOf(b.Name) {
			return -1
		}
		return 1
	})
	return g, true
}

// countDispatches records the group's work in the server table until done is
// called.
func (g *group) countDispatches() (done func()) {
	rows := g.call.e.cfg.Servers
	now := time.Now()
	var dispatches []backend.Dispatch
	for _, m := range g.members {
		work := backend.DispatchLoad{Prefill: m.tokens, Tokens: m.holdTokens, Long: true}
		dispatches = append(dispatches, rows.BeginDispatch(m.Name, work, now))
	}
	return func() {
		for _, d := range dispatches {
			rows.EndDispatch(d)
		}
	}
}

// prefillSegments prefills the segments on all members in parallel. The first
// failure cancels the others and is returned.
func (g *group) prefillSegments(parent context.Context) *result {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var wg sync.WaitGroup
	var once, sending sync.Once
	var failed *result
	// All Start messages are built before the goroutines run: each lists all
	// members, which the goroutines modify.
	starts := make([]*wirepb.Start, len(g.members))
	for i, m := range g.members {
		starts[i] = g.segmentStart(m)
	}
	for i, m := range g.members {
		wg.Go(func() {
			res := g.prefillSegment(ctx, m, starts[i], func() { sending.Do(g.call.markBodySent) })
			if res != nil {
				once.Do(func() { failed = res })
				cancel()
			}
		})
	}
	wg.Wait()
	return failed
}

// prefillSegment prefills one segment. It retries an agent that refuses for
// lack of capacity, such as its limit for long prefill: the memory is already
// held, and failing would discard the work of all members.
func (g *group) prefillSegment(ctx context.Context, m *member, start *wirepb.Start, sending func()) *result {
	for {
		res := g.call.e.runAttempt(ctx, m.Choice, start, m.text, hooks{beforeBody: sending})
		if isCapacityRefusal(res.refuse) && ctx.Err() == nil {
			start.Attempt = g.call.lifecycle.BeginAttempt()
			sleep.For(ctx, maxBackoff/2)
			continue
		}
		if res.end.GetCode() == wirepb.EndCode_END_OK && res.end.GetHandle() != "" {
			m.handle = res.end.GetHandle()
			m.countedTokens = res.end.GetPromptTokens()
			return nil
		}
		if res.end.GetCode() == wirepb.EndCode_END_OK {
			res.err = errors.Annotatef(errUnexpected, "step segment, peer %s, no handle", m.Name)
		}
		return &res
	}
}

func (g *group) segmentStart(m *member) *wirepb.Start {
	start := g.call.newStart()
	start.Kind = wirepb.Kind_KIND_KV_SEGMENT
	start.PromptTokens = uint64(m.tokens)
	start.MaxTokens = 0
	start.BodyBytes = uint64(len(m.text))
	start.HoldId = m.holdID
	start.Segment = uint32(m.index)
	start.Stream = false
	start.ResumeFrom, start.PriorText = 0, nil
	start.Group = g.memberRefs()
	return start
}

// leaderStart returns the Start of the run that generates the output. The
// prompt is already in memory, so the run uses only the output part of the
// hold.
func (g *group) leaderStart() *wirepb.Start {
	start := g.call.newStart()
	start.PromptTokens = 0
	start.Long = false
	start.HoldId = g.members[0].holdID
	start.Group = g.memberRefs()
	return start
}

func (g *group) memberRefs() []*wirepb.GroupMember {
	out := make([]*wirepb.GroupMember, 0, len(g.members))
	for _, m := range g.members {
		tokens := m.countedTokens
		if tokens == 0 {
			tokens = uint64(m.tokens)
		}
		out = append(out, &wirepb.GroupMember{Server: m.Name, EngineAddress: m.EngineAddress,
			Handle: m.handle, Tokens: tokens})
	}
	return out
}
