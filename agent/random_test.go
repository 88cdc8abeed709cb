package agent

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarturn/briarturn/wire/wirepb"
)

var (
	randomSeeds = flag.Int("agent.seeds", 60, "randomised runs of the agent")
	randomFirst = flag.Uint64("agent.seed", 1, "first seed")
)

// chaos runs an agent with entries that die, stall and cancel, and an engine
// that dies, hangs and breaks connections, all from one seed.
type chaos struct {
	t        *testing.T
	rnd      *rand.Rand
	engine   *fakeEngine
	agent    *Agent
	attempts []*attempt
	ends     chan chaosEnd
	faults   map[string]int
}

const chaosSteps = 80

// chaosEnd is the End of one attempt, with the attempt's ID at the engine.
type chaosEnd struct {
	id  string
	end *wirepb.End
}

func TestAgentSurvivesRandomFaults(t *testing.T) {
	faults := map[string]int{}
	for seed := *randomFirst; seed < *randomFirst+uint64(*randomSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { chaosRun(t, seed, faults) })
		})
	}
	t.Logf("%d runs of %d steps; %v", *randomSeeds, chaosSteps, faults)
}

func chaosRun(t *testing.T, seed uint64, faults map[string]int) {
	e := newFakeEngine()
	cfg := testConfig(e)
	cfg.Limits.MaxRunning = 20
	c := &chaos{t: t, rnd: rand.New(rand.NewPCG(seed, 0)), engine: e, faults: faults}
	c.ends = make(chan chaosEnd, chaosSteps)
	c.agent = startAgent(t, cfg)
	for i := range chaosSteps {
		c.step(i)
		time.Sleep(time.Duration(c.rnd.IntN(2000)) * time.Millisecond)
		synctest.Wait()
	}
	c.settle()
}

func (c *chaos) step(i int) {
	steps := []struct {
		name string
		do   func(int)
	}{
		{"start", c.start}, {"start", c.start}, {"start", c.start}, {"segment", c.segment},
		{"chunk", c.chunk}, {"chunk", c.chunk}, {"finish", c.finish}, {"cancel", c.cancel},
		{"entry dies", c.entryDies}, {"engine dies", c.engineDies}, {"engine hangs", c.engineHangs},
		{"engine recovers", c.engineRecovers}, {"connection breaks", c.connectionBreaks},
		{"entry replaced", c.entryReplaced},
	}
	s := steps[c.rnd.IntN(len(steps))]
	c.faults[s.name]++
	s.do(i)
}

func (c *chaos) newStart(i int) *wirepb.Start {
	s := chatStart(fmt.Sprintf("r%d", i))
	s.Entry = fmt.Sprintf("entry-%d", c.rnd.IntN(3))
	s.TimeoutMs = uint64(1 + c.rnd.IntN(20_000))
	s.PromptTokens = uint64(1 + c.rnd.IntN(2000))
	s.Long = s.PromptTokens > 600
	s.Alone = c.rnd.IntN(10) == 0
	return s
}

func (c *chaos) start(i int) { c.launch(c.newStart(i)) }

func (c *chaos) segment(i int) {
	s := c.newStart(i)
	s.Kind, s.HoldId, s.Alone = wirepb.Kind_KIND_KV_SEGMENT, fmt.Sprintf("h%d", i), false
	_, _ = c.agent.Hold(context.Background(), &wirepb.HoldRequest{
		HoldId: s.HoldId, Entry: s.Entry, EntryIncarnation: s.EntryIncarnation,
		Tokens: s.PromptTokens + s.MaxTokens, TtlMs: uint64(c.rnd.IntN(5000)),
	})
	c.launch(s)
}

// launch opens an attempt. One in four never reads after Admit.
func (c *chaos) launch(start *wirepb.Start) {
	at := open(c.t, c.agent, start)
	c.attempts = append(c.attempts, at)
	stalls := c.rnd.IntN(4) == 0
	cut := c.rnd.IntN(8) == 0
	go func() {
		down, err := at.stream.Recv()
		if err != nil || down.GetAdmit() == nil {
			return
		}
		body := "body"
		if cut {
			body = "bo"
		}
		part := &wirepb.BodyPart{Data: []byte(body), Last: true}
		at.sendConcurrently(&wirepb.RunUp{Body: &wirepb.RunUp_Part{Part: part}})
		for !stalls {
			down, err := at.stream.Recv()
			if err != nil {
				return
			}
			if end := down.GetEnd(); end != nil {
				c.ends <- chaosEnd{start.RequestId + ".1", end}
				return
			}
		}
	}()
}

func (c *chaos) randomStream() *fakeStream {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	var live []*fakeStream
	for _, run := range c.engine.runs {
		if s := c.engine.streams[run.ID]; !s.completed && !s.isBroken() && s.ctx.Err() == nil {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[c.rnd.IntN(len(live))]
}

func (s *fakeStream) isBroken() bool {
	select {
	case <-s.broken:
		return true
	default:
		return false
	}
}

func (c *chaos) chunk(int) {
	if s := c.randomStream(); s != nil {
		select {
		case s.chunks <- EngineChunk{Data: []byte("x"), Tokens: uint32(c.rnd.IntN(40))}:
		default:
		}
	}
}

func (c *chaos) finish(int) {
	if s := c.randomStream(); s != nil {
		select {
		case s.finished <- struct{}{}:
			c.engine.mu.Lock()
			s.completed = true
			delete(c.engine.live, s.id)
			c.engine.mu.Unlock()
		default:
		}
	}
}

func (c *chaos) connectionBreaks(int) {
	if s := c.randomStream(); s != nil {
		close(s.broken)
	}
}

func (c *chaos) randomAttempt() *attempt {
	if len(c.attempts) == 0 {
		return nil
	}
	return c.attempts[c.rnd.IntN(len(c.attempts))]
}

func (c *chaos) cancel(int) {
	if at := c.randomAttempt(); at != nil {
		go at.sendConcurrently(&wirepb.RunUp{Body: &wirepb.RunUp_Cancel{Cancel: &wirepb.Cancel{}}})
	}
}

func (c *chaos) entryDies(int) {
	if at := c.randomAttempt(); at != nil {
		at.close()
	}
}

func (c *chaos) engineDies(int) { c.setEngine(ErrUnreachable, true) }

func (c *chaos) engineHangs(int) { c.setEngine(ErrBroken, false) }

func (c *chaos) engineRecovers(int) {
	c.engine.mu.Lock()
	dead := c.engine.down == ErrUnreachable
	c.engine.mu.Unlock()
	c.setEngine(nil, dead)
}

func (c *chaos) setEngine(down error, restart bool) {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	c.engine.down = down
	if !restart {
		return
	}
	c.engine.boot += "+"
	clear(c.engine.live)
	for _, s := range c.engine.streams {
		if !s.isBroken() {
			close(s.broken)
		}
	}
}

func (c *chaos) entryReplaced(i int) {
	s := c.newStart(i)
	s.EntryIncarnation = uint64(i + 2)
	c.launch(s)
}

// settle ends all faults and checks that nothing is left when every time limit
// and hold has expired: no memory, no run, and nothing in the engine. Each End
// must have reported correctly whether its attempt began.
func (c *chaos) settle() {
	c.setEngine(nil, false)
	time.Sleep(30 * time.Second)
	synctest.Wait()
	expectFree(c.t, c.agent)
	c.agent.BeginDrain("test")
	select {
	case <-c.agent.Drained():
	default:
		c.t.Fatal("not drained")
	}
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	if len(c.engine.live) != 0 {
		c.t.Fatalf("left in the engine: %v", c.engine.live)
	}
	close(c.ends)
	for e := range c.ends {
		if e.end.Began != c.engine.sent[e.id] {
			c.t.Fatalf("%s: sent %v, End reports %v", e.id, c.engine.sent[e.id], e.end)
		}
	}
}
