package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/internal/standin/answer"
	"github.com/briarturn/briarturn/request"
)

const (
	probeLimit  = 5 * time.Second // time limit of a probe
	probeGrace  = 5 * time.Second // after it, a probe without an end is overdue
	probeSends  = 4               // sends of one key at most
	resendPause = 400 * time.Millisecond
	issuedShare = 0.5 // of keys that an entry issued
	racedShare  = 0.1 // of first sends that go to two entries at once
	probeOutput = 8   // tokens
	maxAnswer   = 1 << 20
)

// reply is what one send came to.
type reply struct {
	status  int
	code    request.FailureCode // of a failure
	reason  string
	id      string // that the entry gave the request
	body    []byte
	broken  bool // no answer that the API allows for
	overdue bool
}

func (r *reply) ok() bool { return r.status == http.StatusOK && !r.broken }

// final reports whether sending the key again is of no use.
func (r *reply) final() bool { return r.ok() || r.reason == "finished_earlier" }

// keyedCall is one call that may run once, with all its sends.
type keyedCall struct {
	key     string
	issued  bool // by an entry
	body    []byte
	replies []reply
}

// prompt is one request to an engine.
type prompt struct {
	text  string
	reply reply
}

// prober sends requests whose ids and keys are known, so that what callers were
// told can be held against what ran. mu guards calls, prompts and answers.
type prober struct {
	targets []string
	seed    uint64
	http    *http.Client

	mu      sync.Mutex
	calls   []*keyedCall
	prompts []*prompt
	sends   int64
}

func newProber(targets []string, seed uint64) *prober {
	return &prober{targets: targets, seed: seed, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute},
	}}
}

// run sends probes until ctx ends, and waits for their answers.
func (p *prober) run(ctx context.Context, rate float64) {
	rnd := rand.New(rand.NewPCG(p.seed, streamProbes))
	var pending sync.WaitGroup
	for i := 0; ; i++ {
		wait := time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			pending.Wait()
			return
		}
		own := rand.New(rand.NewPCG(p.seed, rnd.Uint64()))
		if i%2 == 0 {
			pending.Go(func() { p.call(i, own) })
		} else {
			pending.Go(func() { p.prompt(i, own) })
		}
	}
}

func (p *prober) target(rnd *rand.Rand) string { return p.targets[rnd.IntN(len(p.targets))] }

// call sends one non-idempotent call until its outcome is known or probeSends
// are used up.
func (p *prober) call(i int, rnd *rand.Rand) {
	c := &keyedCall{key: fmt.Sprintf("chaos-%d-%d", p.seed, i)}
	if rnd.Float64() < issuedShare {
		if key := p.issue(p.target(rnd)); key != "" {
			c.key, c.issued = key, true
		}
	}
	c.body = []byte(fmt.Sprintf(`{"call":%q}`, c.key))
	p.mu.Lock()
	p.calls = append(p.calls, c)
	p.mu.Unlock()
	if rnd.Float64() < racedShare {
		var race sync.WaitGroup
		target := p.target(rnd)
		race.Go(func() { p.sendCall(c, target) })
		p.sendCall(c, p.target(rnd))
		race.Wait()
	}
	for range probeSends {
		if p.sendCall(c, p.target(rnd)) {
			return
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(resendPause))))
	}
}

func (p *prober) sendCall(c *keyedCall, target string) (final bool) {
	r := p.send(target+"/services/"+service+"/confirm", c.body, map[string]string{
		"Idempotency-Key":  c.key,
		"X-Non-Idempotent": "true",
		"X-Workspace":      workspace,
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	c.replies = append(c.replies, r)
	return r.final()
}

func (p *prober) prompt(i int, rnd *rand.Rand) {
	one := &prompt{text: fmt.Sprintf("probe %d of run %d", i, p.seed)}
	one.reply = p.say(p.target(rnd), one.text)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prompts = append(p.prompts, one)
}

// say sends one prompt.
func (p *prober) say(target, text string) reply {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, pool, probeOutput, text)
	return p.send(target+"/v1/chat/completions", []byte(body), map[string]string{"X-Workspace": workspace})
}

// issue fetches a key, empty if there is none to be had.
func (p *prober) issue(target string) string {
	r := p.send(target+"/v1/idempotency-keys", nil, map[string]string{"X-Workspace": workspace})
	var out struct {
		Key string `json:"key"`
	}
	if !r.ok() || json.Unmarshal(r.body, &out) != nil {
		return ""
	}
	return out.Key
}

// failureBody is the part of an error that is read.
type failureBody struct {
	Error struct {
		Code   request.FailureCode `json:"code"`
		Reason string              `json:"reason"`
		ID     string              `json:"request_id"`
	} `json:"error"`
}

// send posts once; the client must not send again by itself.
func (p *prober) send(url string, body []byte, headers map[string]string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit+probeGrace)
	defer cancel()
	p.mu.Lock()
	p.sends++
	p.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply{broken: true}
	}
	req.GetBody = nil // with it, net/http resends what has an Idempotency-Key
	req.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(probeLimit.Milliseconds(), 10))
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return reply{broken: true, overdue: ctx.Err() != nil}
	}
	defer resp.Body.Close()
	out := reply{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id")}
	out.body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return reply{broken: true, overdue: ctx.Err() != nil}
	}
	out.read()
	return out
}

// read takes in a failure's body. A status without one is the plain service's
// own answer: the call ran.
func (r *reply) read() {
	if r.status == http.StatusOK {
		return
	}
	var f failureBody
	if json.Unmarshal(r.body, &f) == nil {
		r.code, r.reason = f.Error.Code, f.Error.Reason
	}
	if f.Error.ID != "" {
		r.id = f.Error.ID
	}
}

// echo is the plain service's answer.
type echo struct {
	Key      string `json:"key"`
	BodyHash string `json:"body_hash"`
}

// own reports whether a confirmed call's answer is its own.
func (c *keyedCall) own(r *reply) bool {
	var e echo
	if json.Unmarshal(r.body, &e) != nil {
		return false
	}
	return e.Key == c.key && e.BodyHash == strconv.FormatUint(xxhash.Sum64(c.body), 16)
}

// completion is the part of an engine's answer that is read.
type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// verify returns what is wrong with a prompt's answer.
func (p *prompt) verify() error {
	var c completion
	if err := json.Unmarshal(p.reply.body, &c); err != nil {
		return err
	}
	if len(c.Choices) != 1 {
		return fmt.Errorf("%d choices", len(c.Choices))
	}
	return answer.Verify(p.text, probeOutput, c.Choices[0].Message.Content)
}
