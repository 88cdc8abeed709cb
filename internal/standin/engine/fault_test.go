package engine_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	client "github.com/briarturn/briarturn/engine"
	"github.com/briarturn/briarturn/internal/standin/answer"
	standin "github.com/briarturn/briarturn/internal/standin/engine"
)

// eventually polls until f holds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 10_000 {
		if f() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("never: " + what)
}

// long is a run that goes on until something ends it.
func long(id string) *client.RunRequest { return run(id, "a long story", 300_000) }

func begin(t *testing.T, c *client.Client, r *client.RunRequest) *client.Stream {
	t.Helper()
	st, err := c.Run(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = st.Close() })
	return st
}

// Symptom: a prompt that kills its engine is blamed on the network and run
// again elsewhere. Sequence: the prompt arrives, the engine dies with all it
// runs. Cause: the broken connection alone does not tell a dead engine.
func TestKillMarkerKillsAndProbeTells(t *testing.T) {
	cfg := fast()
	cfg.KillMarker = "POISON"
	s, c := start(t, cfg)
	innocent := begin(t, c, long("innocent"))
	if _, _, err := collect(innocent, 1); err != nil {
		t.Fatal(err)
	}
	_, err := c.Run(t.Context(), run("killer", "a POISON prompt", 10))
	if !errors.Is(err, client.ErrBroken) {
		t.Errorf("killer: %v", err)
	}
	if _, _, err := collect(innocent, all); !errors.Is(err, client.ErrBroken) {
		t.Errorf("innocent: %v", err)
	}
	if got := c.Probe(t.Context(), "1"); got != client.LivenessDied {
		t.Errorf("probe of a dead engine: %v", got)
	}
	if _, err := c.Run(t.Context(), run("next", "hello", 1)); !errors.Is(err, client.ErrNotRun) {
		t.Errorf("run on a dead engine: %v", err)
	}
	s.Recover()
	if got := c.Probe(t.Context(), "1"); got != client.LivenessDied {
		t.Errorf("probe of another boot: %v", got)
	}
	if got := c.Probe(t.Context(), "2"); got != client.LivenessLive {
		t.Errorf("probe of the same boot: %v", got)
	}
	if n := s.Counters(); n.Killed != 1 || n.Lost != 2 || n.UsedMemory != 0 {
		t.Errorf("counters %+v", n)
	}
}

// Symptom: an engine that hangs is taken for dead and its requests are run a
// second time. Sequence: the engine stops answering, its connections stay.
// Cause: silence is taken for a refusal.
func TestHangingEngineIsNotDead(t *testing.T) {
	s, _ := start(t, fast())
	c := client.New(client.Config{Address: s.Address(), CallTimeout: 30 * time.Millisecond})
	defer c.Close()
	s.Hang()
	if got := c.Probe(t.Context(), "1"); got != client.LivenessUnknown {
		t.Errorf("got %v", got)
	}
	s.Recover()
	eventually(t, "live again", func() bool { return c.Probe(t.Context(), "1") == client.LivenessLive })
}

// Symptom: after a stream broke, the caller has words twice or not at all.
// Sequence: an engine dies after k chunks, another goes on from there.
// Cause: the second starts at another chunk than the first ended with.
func TestEngineThatHangsWithARunKeepsItsMemory(t *testing.T) {
	s, c := start(t, fast())
	s.HangWithRun()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// It ends with the engine's recovery and its cancellation; either is fine.
		if st, err := c.Run(t.Context(), long("kept")); err == nil {
			_, _, _ = collect(st, 1)
			_ = st.Close()
		}
	}()
	eventually(t, "the run is admitted", func() bool { return s.Counters().UsedMemory > 0 })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := c.Cancel(ctx, "kept"); err == nil {
		t.Error("a hanging engine took an order")
	}
	if s.Counters().UsedMemory == 0 {
		t.Error("the memory is free")
	}
	s.Recover()
	<-ended
	eventually(t, "the memory is free", func() bool { return s.Counters().UsedMemory == 0 })
}

func TestResumeOnAnotherEngine(t *testing.T) {
	const prompt, output = "the whole competition", 41
	first, c1 := start(t, fast())
	_, c2 := start(t, fast())
	want, chunks, err := collect(begin(t, c1, run("whole", prompt, output)), all)
	if err != io.EOF {
		t.Fatal(err)
	}
	for k := range chunks + 1 {
		st := begin(t, c1, run("r"+strconv.Itoa(k), prompt, output))
		had, _, err := collect(st, k)
		if err != nil {
			t.Fatal(err)
		}
		_ = st.Close()
		r := run("r"+strconv.Itoa(k), prompt, output)
		r.ResumeFrom, r.PriorText = uint64(k), []byte(had)
		rest, n, err := collect(begin(t, c2, r), all)
		if err != io.EOF || had+rest != want || k+n != chunks {
			t.Errorf("after %d of %d chunks: %d more, err %v", k, chunks, n, err)
		}
	}
	if err := answer.Verify(prompt, output, want); err != nil {
		t.Error(err)
	}
	first.Close()
}

func TestResumeWithWrongTextIsRefused(t *testing.T) {
	s, c := start(t, fast())
	r := run("a", "prompt", 40)
	r.ResumeFrom, r.PriorText = 2, []byte("what another caller was told")
	_, err := c.Run(t.Context(), r)
	if e, ok := errors.AsType[*client.StatusError](err); !ok || e.Status != http.StatusBadRequest {
		t.Errorf("got %v", err)
	}
	if s.Counters().Runs != 0 {
		t.Error("it ran")
	}
}

// Symptom: an engine's memory fills up with requests that nobody waits for.
// Sequence: a caller goes away, or cancels. Cause: the engine goes on.
func TestMemoryComesBackOnEveryPath(t *testing.T) {
	paths := map[string]func(*client.Client, *client.Stream, context.CancelFunc) error{
		"cancel call": func(c *client.Client, _ *client.Stream, _ context.CancelFunc) error {
			return c.Cancel(t.Context(), "a")
		},
		"closed stream":   func(_ *client.Client, st *client.Stream, _ context.CancelFunc) error { return st.Close() },
		"ended context":   func(_ *client.Client, _ *client.Stream, cancel context.CancelFunc) error { cancel(); return nil },
		"death of engine": func(*client.Client, *client.Stream, context.CancelFunc) error { return nil },
	}
	for name, leave := range paths {
		t.Run(name, func(t *testing.T) {
			s, c := start(t, fast())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			st, err := c.Run(ctx, long("a"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = st.Close() }()
			if _, _, err := collect(st, 3); err != nil {
				t.Fatal(err)
			}
			if s.Counters().UsedMemory == 0 {
				t.Fatal("nothing was used")
			}
			if err := leave(c, st, cancel); err != nil {
				t.Fatal(err)
			}
			if name == "death of engine" {
				s.Die()
			}
			eventually(t, "memory is free", func() bool { return s.Counters().UsedMemory == 0 })
		})
	}
}

// prefillAll exports all but the last segment, one on each engine.
func prefillAll(t *testing.T, engines []*standin.Server, clients []*client.Client, segments []string) []client.KVGroupMember {
	t.Helper()
	var group []client.KVGroupMember
	for i, text := range segments[:len(segments)-1] {
		p, err := clients[i].PrefillSegment(t.Context(), &client.Segment{RequestID: "g", Index: i, Count: len(segments), Text: text})
		if err != nil {
			t.Fatal(err)
		}
		if p.PrefillTime <= 0 || p.Tokens != int64(answer.Count(text)) {
			t.Errorf("segment %d: %+v", i, p)
		}
		group = append(group, client.KVGroupMember{Address: engines[i].Address(), Handle: p.Handle, Tokens: p.Tokens})
	}
	return group
}

func TestGroupGivesTheAnswerOfOneEngine(t *testing.T) {
	cfg := fast()
	cfg.MemoryTokens = 1000
	var engines []*standin.Server
	var clients []*client.Client
	for range 3 {
		s, c := start(t, cfg)
		engines, clients = append(engines, s), append(clients, c)
	}
	segments := []string{strings.Repeat("abcd", 900), strings.Repeat("efgh", 900), strings.Repeat("ijkl", 600)}
	prompt := strings.Join(segments, "")
	if _, err := clients[2].Run(t.Context(), run("alone", prompt, 21)); !errors.Is(err, client.ErrNotRun) {
		t.Fatalf("alone: %v", err)
	}
	group := prefillAll(t, engines, clients, segments)
	r := run("g", prompt, 21)
	r.KVGroup = group
	text, _, err := collect(begin(t, clients[2], r), all)
	if err != io.EOF {
		t.Fatal(err)
	}
	if err := answer.Verify(prompt, 21, text); err != nil {
		t.Error(err)
	}
	for i, m := range group {
		if engines[i].Counters().UsedMemory != 900 {
			t.Errorf("segment %d holds %d", i, engines[i].Counters().UsedMemory)
		}
		for range 2 { // a second free is harmless
			if err := clients[i].FreeSegment(t.Context(), m.Handle); err != nil {
				t.Error(err)
			}
		}
		if engines[i].Counters().UsedMemory != 0 {
			t.Errorf("segment %d is not free", i)
		}
	}
}

// Symptom: a long review answers from the wrong file. Sequence: the segments are
// attached in another order, or one was freed. Cause: the leader takes handles
// on trust.
func TestLeaderChecksItsSegments(t *testing.T) {
	s, c := start(t, fast())
	segments := []string{strings.Repeat("abcd", 90), strings.Repeat("efgh", 90), "ij"}
	group := prefillAll(t, []*standin.Server{s, s}, []*client.Client{c, c}, segments)
	r := run("g", strings.Join(segments, ""), 5)
	r.KVGroup = []client.KVGroupMember{group[1], group[0]}
	_, err := c.Run(t.Context(), r)
	if e, ok := errors.AsType[*client.StatusError](err); !ok || e.Status != http.StatusBadRequest {
		t.Errorf("wrong order: %v", err)
	}
	if err := c.FreeSegment(t.Context(), group[1].Handle); err != nil {
		t.Fatal(err)
	}
	r = run("g", strings.Join(segments, ""), 5)
	r.KVGroup = group
	if _, err := c.Run(t.Context(), r); !errors.Is(err, client.ErrNotRun) {
		t.Errorf("freed segment: %v", err)
	}
}

// Symptom: a long answer goes on over memory that belongs to another request.
// Sequence: a member's segment is freed, or the member dies, while the leader
// decodes. Cause: the leader looks at its segments only at the start.
func TestLostSegmentEndsTheAnswer(t *testing.T) {
	member, mc := start(t, fast())
	_, leader := start(t, fast())
	segments := []string{strings.Repeat("abcd", 90), "ij"}
	for name, lose := range map[string]func(handle string){
		"freed": func(handle string) { _ = mc.FreeSegment(t.Context(), handle) },
		"died":  func(string) { member.Die(); member.Recover() },
	} {
		r := run(name, strings.Join(segments, ""), 40_000)
		r.KVGroup = prefillAll(t, []*standin.Server{member}, []*client.Client{mc}, segments)
		st := begin(t, leader, r)
		if _, _, err := collect(st, 1); err != nil {
			t.Fatal(err)
		}
		lose(r.KVGroup[0].Handle)
		if _, _, err := collect(st, all); !errors.Is(err, client.ErrBroken) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestOrdersAndFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		cfg := fast()
		cfg.ChecksFencing = checks
		_, c := start(t, cfg)
		load := func(model string, fence uint64) error {
			return c.Order(t.Context(), &client.Order{Action: "load", Model: model, Lease: "pool", Fence: fence})
		}
		if err := load("new", 7); err != nil {
			t.Fatal(err)
		}
		err := load("old", 6)
		if errors.Is(err, client.ErrStaleFence) != checks {
			t.Errorf("checks %v: %v", checks, err)
		}
		models, err := c.Models(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		old := slices.ContainsFunc(models.Data, func(m client.Model) bool { return m.ID == "old" })
		if old == checks {
			t.Errorf("checks %v: models %v", checks, models)
		}
	}
}

func TestBadInput(t *testing.T) {
	s, _ := start(t, fast())
	for body, want := range map[string]int{
		`{`: 400, `[]`: 400, `{"model":"briar"}`: 400,
		`{"model":"briar","messages":[{"content":7}]}`:                                          400,
		`{"model":"briar","messages":[{"content":[{"type":"image_url"}]}]}`:                     400,
		`{"model":"briar","max_tokens":-1,"messages":[{"content":"x"}]}`:                        400,
		`{"model":"other","messages":[{"content":"x"}]}`:                                        404,
		`{"model":"briar","max_tokens":2,"messages":[{"content":[{"type":"text","text":""}]}]}`: 200,
	} {
		resp, err := http.Post("http://"+s.Address()+"/v1/chat/completions", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: got %d, want %d", body, resp.StatusCode, want)
		}
	}
	if n := s.Counters().BadInput; n != 7 {
		t.Errorf("bad input counted %d times", n)
	}
}

// streams runs n streams at once and verifies each answer.
func streams(t testing.TB, c *client.Client, n, output int) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			prompt := "prompt " + strconv.Itoa(i)
			st, err := c.Run(t.Context(), run(prompt, prompt, output))
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = st.Close() }()
			text, _, err := collect(st, all)
			if err != io.EOF {
				t.Error(err)
			} else if err := answer.Verify(prompt, output, text); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
}

func TestManyStreamsAtOnce(t *testing.T) {
	s, c := start(t, fast())
	streams(t, c, 200, 16)
	if n := s.Counters(); n.Finished != 200 || n.DoubleRuns != 0 || n.UsedMemory != 0 {
		t.Errorf("counters %+v", n)
	}
}

func BenchmarkStreams(b *testing.B) {
	for _, n := range []int{1000, 2000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			cfg := fast()
			cfg.MaxBatch = n
			_, c := start(b, cfg)
			b.ReportAllocs()
			for b.Loop() {
				streams(b, c, n, 64)
			}
		})
	}
}

func TestCacheEventsHaveGaps(t *testing.T) {
	cfg := fast()
	cfg.CacheGap = 3
	_, c := start(t, cfg)
	prompt := strings.Repeat("abcd", 2048)
	if _, _, err := collect(begin(t, c, run("a", prompt, 1)), all); err != io.EOF {
		t.Fatal(err)
	}
	events, next, err := c.CacheEvents(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	blocks := client.AppendPrefixHashes(nil, prompt, 100)
	if len(blocks) != 8 || len(events) != 6 || next != 8 {
		t.Fatalf("%d blocks, %d events, next %d", len(blocks), len(events), next)
	}
	for _, e := range events {
		if e.Op != "store" || !slices.Contains(blocks, e.Hash) || e.Seq%3 == 0 {
			t.Errorf("%+v", e)
		}
	}
}

func TestFaultsOverHTTP(t *testing.T) {
	s, c := start(t, fast())
	resp, err := http.Post("http://"+s.Address()+"/standin/fault", "application/json", strings.NewReader(`{"fault":"die","for_ms":20}`))
	if err == nil {
		_ = resp.Body.Close()
	}
	eventually(t, "died", func() bool { return s.Counters().Killed == 1 })
	eventually(t, "came back", func() bool { return c.Probe(t.Context(), "2") == client.LivenessLive })
}

func TestWholeAnswerWithoutStream(t *testing.T) {
	s, _ := start(t, fast())
	resp, err := http.Post("http://"+s.Address()+"/v1/chat/completions", "application/json", strings.NewReader(chatBody("hi", 9)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || len(body.Choices) != 1 {
		t.Fatal(err)
	}
	if err := answer.Verify("hi", 9, body.Choices[0].Message.Content); err != nil {
		t.Error(err)
	}
}

func TestFullQueueIsNotRun(t *testing.T) {
	cfg := fast()
	cfg.MaxBatch, cfg.MaxQueue = 1, 1
	s, c := start(t, cfg)
	if _, _, err := collect(begin(t, c, long("runs")), 1); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	waits := make(chan error, 1)
	go func() {
		_, err := c.Run(ctx, run("waits", "x", 1))
		waits <- err
	}()
	eventually(t, "one waits", func() bool { return s.Counters().Runs == 2 })
	if _, err := c.Run(t.Context(), run("refused", "x", 1)); !errors.Is(err, client.ErrNotRun) || s.Runs("refused") != 0 {
		t.Errorf("got %v", err)
	}
	cancel()
	if err := <-waits; err == nil {
		t.Error("a waiting run was answered")
	}
}

// Guards against a client that reads the head of an engine's answer until its memory is used up.
func TestEndlessHeadEndsTheCall(t *testing.T) {
	s, c := start(t, fast())
	s.SendWithoutEnd()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := c.Run(ctx, run("a", "hello", 1)); !errors.Is(err, client.ErrBroken) || ctx.Err() != nil {
		t.Errorf("run: %v, %v", err, ctx.Err())
	}
	s.Recover()
	if _, _, err := collect(begin(t, c, run("b", "hello", 1)), all); err != io.EOF {
		t.Errorf("run after the recovery: %v", err)
	}
}
