package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// burstPart is a part of a prompt on a simulated server.
type burstPart struct {
	prompt *burstPrompt
	left   time.Duration
	tokens int
	helper bool
}

// burstPrompt is a caller's prompt in a simulation.
type burstPrompt struct {
	query        Query
	arrivedAt    time.Time
	placed       *Placement
	pendingParts int // parts that aren't prefilled
	firstTokenAt time.Time
}

// onTime reports whether the first token arrived within the objective.
func (p *burstPrompt) onTime() bool {
	return !p.firstTokenAt.IsZero() && p.firstTokenAt.Sub(p.arrivedAt) <= p.query.FirstTokenObjective
}

// burstServer simulates the prefill passes of an engine. It shares no state with the
// ledger: the simulation checks the planner, so the ledger's forecasts must not determine
// how long work takes.
type burstServer struct {
	parts   []*burstPart // helper parts first, the newest in front
	passEnd time.Time    // end of the current pass
}

// runPass runs one pass and returns the parts that it finishes.
func (s *burstServer) runPass(now time.Time) (done []*burstPart) {
	room, length := engine.Chunk*idlePassSteps, time.Duration(0)
	for len(s.parts) > 0 && room > 0 {
		p := s.parts[0]
		tokens := min(room, p.tokens)
		took := time.Duration(float64(p.left) * float64(tokens) / float64(p.tokens))
		p.left, p.tokens = p.left-took, p.tokens-tokens
		length += took
		room -= tokens
		if p.tokens > 0 {
			break
		}
		done = append(done, p)
		s.parts = s.parts[1:]
	}
	s.passEnd = now.Add(length)
	return done
}

// burstSim simulates long prompts on a fleet of servers in virtual time. Prompts that the
// planner doesn't place are retried, as in the gateway.
type burstSim struct {
	*fleet
	servers    []*burstServer
	byInstance map[string]*burstServer // servers by instance
	waiting    []*burstPrompt
}

func newBurstSim(servers int, random *rand.Rand) *burstSim {
	b := &burstSim{fleet: newFleet(servers), byInstance: map[string]*burstServer{}}
	b.planner.shuffle = random.Shuffle
	for _, c := range b.candidates {
		s := &burstServer{}
		b.servers = append(b.servers, s)
		b.byInstance[c.Instance] = s
	}
	return b
}

// placeWaiting tries to place every waiting prompt.
func (b *burstSim) placeWaiting() {
	var left []*burstPrompt
	for _, p := range b.waiting {
		q := p.query
		waited := b.now.Sub(p.arrivedAt)
		q.Engine, q.Waited = engine, waited
		q.FirstTokenObjective -= waited
		q.TimeLeft -= waited
		placed, answer := b.planner.Place(q, slices.Clone(b.candidates))
		if answer != Placed {
			left = append(left, p)
			continue
		}
		b.start(p, placed)
	}
	b.waiting = left
}

func (b *burstSim) start(p *burstPrompt, placed Placement) {
	p.placed = &placed
	n := 1 + len(placed.Helpers)
	p.pendingParts = n
	part := func() *burstPart {
		return &burstPart{prompt: p, left: placed.PartTime, tokens: p.query.InputTokens / n}
	}
	first := b.byInstance[placed.Server.Instance]
	first.parts = append(first.parts, part())
	for _, h := range placed.Helpers {
		helping := part()
		helping.helper = true
		s := b.byInstance[h.Instance]
		s.parts = slices.Insert(s.parts, 0, helping)
	}
}

// step advances the time by a millisecond.
func (b *burstSim) step() {
	b.now = b.now.Add(time.Millisecond)
	for _, s := range b.servers {
		if b.now.Before(s.passEnd) {
			continue
		}
		for _, part := range s.runPass(b.now) {
			b.partDone(part.prompt)
		}
	}
}

// partDone records that a part was prefilled. The last part yields the first token and ends
// the prompt: decoding isn't simulated.
func (b *burstSim) partDone(p *burstPrompt) {
	if p.pendingParts--; p.pendingParts == 0 {
		p.firstTokenAt = b.now
		p.placed.FirstToken()
		p.placed.End()
	}
}

// earnedShare returns the weight of the prompts that were on time, as a fraction of the
// total weight.
func earnedShare(prompts []*burstPrompt) float64 {
	got, all := 0.0, 0.0
	for _, p := range prompts {
		weight := measuredWeight(p.query.InputTokens)
		all += weight
		if p.onTime() {
			got += weight
		}
	}
	return got / all
}

// simulateBurst simulates eight seconds of load on 14 servers: four prompts of 133,000
// tokens per second and one of 440,000 every two seconds, which is 1.05 times the prefill
// that the servers can do. It returns the prompts after all have had time to finish.
func simulateBurst(seed uint64) []*burstPrompt {
	const servers, lasts, until = 14, 8 * time.Second, 24 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	b := newBurstSim(servers, random)
	var all []*burstPrompt
	come := func(tokens int) {
		p := &burstPrompt{query: review(tokens), arrivedAt: b.now}
		p.query.TimeLeft = 15 * time.Second
		all, b.waiting = append(all, p), append(b.waiting, p)
	}
	for passed := time.Duration(0); passed < until; passed += time.Millisecond {
		if passed < lasts && random.IntN(250) == 0 {
			come(133_000)
		}
		if passed < lasts && random.IntN(2000) == 0 {
			come(440_000)
		}
		if passed%(60*time.Millisecond) == 0 {
			b.placeWaiting()
		}
		b.step()
	}
	return all
}

// In a burst of long prompts nearly all of them were late, the common ones together with
// the largest. All started on arrival and were prefilled side by side: callers got 0.67 of
// the weight on time, and 0.71 when the largest prompts wait. simulateBurst runs with 20
// seeds.
func TestLargestPromptsAreDeferredInBurst(t *testing.T) {
	const seeds, least = 20, 0.70
	sum := 0.0
	for seed := range uint64(seeds) {
		all := simulateBurst(seed)
		sum += earnedShare(all)
		for _, p := range all {
			if p.firstTokenAt.IsZero() {
				t.Errorf("seed %d: a prompt of %d tokens was not served before its deadline", seed, p.query.InputTokens)
			}
		}
	}
	t.Logf("callers got %.3f of the weight on time", sum/seeds)
	if sum/seeds < least {
		t.Errorf("callers got %.3f of the weight on time, want at least %.2f", sum/seeds, least)
	}
}

// Short streams paused for seconds because of one prompt that would have been hardly later
// if deferred. Six short streams are decoded on each of four servers, and a prompt of
// 200,000 tokens stops those of any server that prefills it. The interference had the same
// weight as the prompt's gain, although stopped streams keep their slots from new requests.
func TestLongPromptIsDeferredForShortStreams(t *testing.T) {
	const servers, streamsEach = 4, 6
	f := newFleet(servers)
	for i, c := range f.candidates {
		for n := range streamsEach {
			f.ledger.Begin(Attempt{
				ID: AttemptID{Owner: uint64(i) + 1, Seq: uint64(n) + 1}, Server: ServerKey(c.Instance),
				MemoryTokens: 6_400, PauseObjective: 250 * time.Millisecond, Weight: 1.5, Decoding: true,
			}, f.now)
		}
	}
	q := review(200_000)
	q.Engine, q.TimeLeft = engine, 15*time.Second
	if _, answer := f.planner.Place(q, slices.Clone(f.candidates)); answer != Deferred {
		t.Errorf("decision %d, want Deferred", answer)
	}
}

// Guards against a long prompt that is deferred for requests which its prefill doesn't make late, by
// a price of prefill that knows nothing of them. Three prompts of 45,000 tokens wait on each server.
func TestLongPromptIsDeferredForThoseThatItMakesLate(t *testing.T) {
	const servers, queuedEach = 14, 3
	decisionBehind := func(objective time.Duration) Decision {
		f := newFleet(servers)
		for i, c := range f.candidates {
			for n := range queuedEach {
				f.ledger.Begin(Attempt{
					ID: AttemptID{Owner: uint64(i) + 1, Seq: uint64(n) + 1}, Server: ServerKey(c.Instance),
					PartTime: engine.PrefillTime(45_000, 45_000), PartTokens: 45_000, MemoryTokens: 46_000,
					FirstTokenDeadline: f.now.Add(objective), Weight: engine.Weight(45_000),
				}, f.now)
			}
		}
		q := review(440_000)
		q.Engine, q.FirstTokenObjective, q.TimeLeft = engine, 30*time.Second, time.Minute
		_, decision := f.planner.Place(q, slices.Clone(f.candidates))
		return decision
	}
	if got := decisionBehind(30 * time.Second); got != Placed {
		t.Errorf("those that come have 30 s until their first token: decision %d, want Placed", got)
	}
	if got := decisionBehind(1500 * time.Millisecond); got != Deferred {
		t.Errorf("those that come have 1.5 s until their first token: decision %d, want Deferred", got)
	}
}

// Guards against a long prompt that is deferred for late short ones, which the engines serve first.
func TestShortPromptsDoNotRaiseThePriceOfALongOne(t *testing.T) {
	f := newFleet(2)
	for i, c := range f.candidates {
		f.ledger.Begin(Attempt{
			ID: AttemptID{Owner: uint64(i) + 1, Seq: 1}, Server: ServerKey(c.Instance),
			PartTime: time.Second, PartTokens: 5_000, Weight: engine.Weight(5_000), FirstTokenDeadline: f.now,
		}, f.now)
	}
	price := func(tokens int) float64 {
		q := review(tokens)
		q.Engine = engine
		return prefillPrice(q, f.planner.optionsLocked(f.candidates))
	}
	if long, short := price(133_000), price(5_000); long != 0 || short == 0 {
		t.Errorf("price of a second %.2f for a long prompt, want 0; %.2f for a short one, want more", long, short)
	}
}
