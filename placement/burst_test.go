package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// modelPart is a prompt's part on a model server.
type modelPart struct {
	prompt *modelPrompt
	left   time.Duration
	tokens int
	helper bool
}

// modelPrompt is a caller's prompt in a play.
type modelPrompt struct {
	query   Query
	came    time.Time
	placed  *Placement
	unread  int // parts
	firstAt time.Time
}

// onTime reports whether its first token came within the objective.
func (p *modelPrompt) onTime() bool {
	return !p.firstAt.IsZero() && p.firstAt.Sub(p.came) <= p.query.FirstTokenObjective
}

// modelServer reads in passes, as engines do, on its own account: the play checks the
// planner, so that the planner's ledger must not be what tells how long things take.
type modelServer struct {
	parts []*modelPart // parts for others first, the newest of them ahead
	free  time.Time    // end of the pass that goes on
}

// pass reads for one pass and returns the parts that were read to their end.
func (s *modelServer) pass(now time.Time) (done []*modelPart) {
	room, length := engine.Chunk*idleSteps, time.Duration(0)
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
	s.free = now.Add(length)
	return done
}

// burstPlay plays long prompts over a fleet of model servers in virtual time. Prompts
// that the planner doesn't place ask again, as the gateway does.
type burstPlay struct {
	*fleet
	servers []*modelServer
	named   map[string]*modelServer // the same by instance
	waiting []*modelPrompt
}

func newBurstPlay(servers int, random *rand.Rand) *burstPlay {
	b := &burstPlay{fleet: newFleet(servers), named: map[string]*modelServer{}}
	b.planner.shuffle = random.Shuffle
	for _, c := range b.candidates {
		s := &modelServer{}
		b.servers = append(b.servers, s)
		b.named[c.Instance] = s
	}
	return b
}

// tryWaiting offers every prompt that waits to the planner.
func (b *burstPlay) tryWaiting() {
	var left []*modelPrompt
	for _, p := range b.waiting {
		q := p.query
		waited := b.now.Sub(p.came)
		q.Engine, q.Waited = engine, waited
		q.FirstTokenObjective -= waited
		q.TimeLeft -= waited
		placed, answer := b.planner.Place(q, slices.Clone(b.candidates))
		if answer != Placed {
			left = append(left, p)
			continue
		}
		b.begin(p, placed)
	}
	b.waiting = left
}

func (b *burstPlay) begin(p *modelPrompt, placed Placement) {
	p.placed = &placed
	n := 1 + len(placed.Helpers)
	p.unread = n
	part := func() *modelPart {
		return &modelPart{prompt: p, left: placed.PartTime, tokens: p.query.InputTokens / n}
	}
	first := b.named[placed.Server.Instance]
	first.parts = append(first.parts, part())
	for _, h := range placed.Helpers {
		helping := part()
		helping.helper = true
		s := b.named[h.Instance]
		s.parts = slices.Insert(s.parts, 0, helping)
	}
}

// step lets a millisecond pass.
func (b *burstPlay) step() {
	b.now = b.now.Add(time.Millisecond)
	for _, s := range b.servers {
		if b.now.Before(s.free) {
			continue
		}
		for _, part := range s.pass(b.now) {
			b.read(part.prompt)
		}
	}
}

// read notes that a part was read. With the last one the first token comes, and the
// play is over for the prompt: it is about reading, and writing is left out.
func (b *burstPlay) read(p *modelPrompt) {
	if p.unread--; p.unread == 0 {
		p.firstAt = b.now
		p.placed.FirstToken()
		p.placed.End()
	}
}

// earned is the weight of the prompts that were on time, as a share of all.
func earned(prompts []*modelPrompt) float64 {
	got, all := 0.0, 0.0
	for _, p := range prompts {
		weight := WeightOf(p.query.InputTokens)
		all += weight
		if p.onTime() {
			got += weight
		}
	}
	return got / all
}

// playBurst plays eight seconds of prompts of 133,000 tokens, four a second, and of
// 440,000, one in two seconds, on 14 servers, which is 1.05 times the reading that they
// can do, and returns the prompts when all had time to end.
func playBurst(seed uint64) []*modelPrompt {
	const servers, lasts, until = 14, 8 * time.Second, 24 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	b := newBurstPlay(servers, random)
	var all []*modelPrompt
	come := func(tokens int) {
		p := &modelPrompt{query: review(tokens), came: b.now}
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
			b.tryWaiting()
		}
		b.step()
	}
	return all
}

// Symptom: in a burst of long prompts nearly all of them are late, the common ones with
// the largest.
// Sequence: that of playBurst, with 20 seeds.
// Cause: all were begun as they came and read side by side: callers got 0.67 in time of
// what they were owed, and 0.71 where the largest wait.
func TestLargestPromptsWaitInABurst(t *testing.T) {
	const seeds, least = 20, 0.70
	sum := 0.0
	for seed := range uint64(seeds) {
		all := playBurst(seed)
		sum += earned(all)
		for _, p := range all {
			if p.firstAt.IsZero() {
				t.Errorf("seed %d: a prompt of %d tokens was not served in its time", seed, p.query.InputTokens)
			}
		}
	}
	t.Logf("callers got %.3f of what they were owed in time", sum/seeds)
	if sum/seeds < least {
		t.Errorf("callers got %.3f of what they were owed in time, want %.2f", sum/seeds, least)
	}
}

// Symptom: short streams pause for seconds for one prompt that would hardly have been
// later by waiting.
// Sequence: six short streams are written on each of four servers; a prompt of 200,000
// tokens comes, which stops those of any server that reads it.
// Cause: what the others lost counted as much as what the prompt gained, though the
// streams that are stopped keep their slots from those that come meanwhile.
func TestLongPromptWaitsForManyShortStreams(t *testing.T) {
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
		t.Errorf("answer %d, want the prompt to wait", answer)
	}
}
