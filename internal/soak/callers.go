package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/briarturn/briarturn/platform/standin"
)

// Keys of the workspaces.
const (
	keptKey    = "kept"
	removedKey = "removed"
	boundKey   = "bound" // of a workspace that is bound to boundRegion
)

// boundRegion is where requests with boundKey may run.
const boundRegion = "region-2"

// boundShare is one request in so many of the kept workspace's: it comes with boundKey.
const boundShare = 6

const (
	// pauseMean is the mean pause of a caller between two requests.
	pauseMean = 30 * time.Millisecond
	// streamEvents is the most events of a stream.
	streamEvents = 40
	// slowEvery is one caller in so many: it reads its answers slowly.
	slowEvery = 8
	// comeBack bounds how long a caller waits that was refused or found nobody.
	comeBack = 200 * time.Millisecond
)

// caller sends one request after the other on a connection that it keeps for as long as the
// entry does, and goes to the next entry when it is gone.
type caller struct {
	number  int
	entries []string // addresses
	at      int      // the entry that it talks to
	random  *rand.Rand
	parts   *rand.Rand // of the parts of prompts, so that other draws are the same without them
	traffic *traffic
	client  *http.Client
	record  *record
	count   *atomic.Int64 // of all callers' requests
}

func newCaller(number int, seed uint64, entries []string, t *traffic, r *record, count *atomic.Int64) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &caller{
		number: number, entries: entries, at: number % len(entries), random: rand.New(rand.NewPCG(seed, uint64(number)+2)),
		parts: rand.New(rand.NewPCG(seed, ^uint64(number))), traffic: t,
		client: &http.Client{Transport: transport}, record: r, count: count,
	}
}

// run sends requests until ctx ends; the last one is waited for.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		q := c.next()
		c.record.request(q)
		pause := time.Duration(c.random.ExpFloat64() * float64(pauseMean))
		if q.Outcome != Whole {
			pause = comeBack
		}
		if q.Outcome == NoEntry || q.Outcome == Broken {
			c.at = (c.at + 1) % len(c.entries)
		}
		c.connectAgain(q.Outcome)
		time.Sleep(pause)
	}
}

// next sends one request and returns how it ended.
func (c *caller) next() request {
	ask := c.ask()
	q := request{ID: ask.ID, Path: ask.Path, Key: ask.Key, Entry: c.at, Sent: time.Now()}
	ask.Parts, q.Crashes = c.partsOf()
	// Beyond its patience a caller waits a little for a word that is on its way.
	ctx, cancel := context.WithTimeout(context.Background(), ask.Timeout+time.Second)
	defer cancel()
	r, err := ask.Request(ctx, c.entries[c.at])
	if err != nil {
		q.Outcome, q.Detail = Wrong, err.Error()
		return q
	}
	response, err := c.client.Do(r)
	if err != nil {
		q.Outcome, q.Detail = failedSend(err), err.Error()
	} else {
		if c.number%slowEvery == 0 {
			response.Body = slowBody{response.Body}
		}
		q.Outcome, q.Detail = answerOf(ask, response)
		_ = response.Body.Close()
	}
	q.Ended = time.Now()
	return q
}

func (c *caller) ask() standin.CallerRequest {
	a := standin.CallerRequest{
		ID: fmt.Sprintf("c%d-%d", c.number, c.count.Add(1)), Key: keptKey, Timeout: callPatience,
		Path: []string{standin.PathNonIdempotent, standin.PathIdempotent, standin.PathStream}[c.random.IntN(3)],
	}
	if c.random.IntN(3) == 0 {
		a.Key = removedKey
	} else if c.random.IntN(boundShare) == 0 {
		a.Key = boundKey
	}
	if a.Path == standin.PathStream {
		a.Events = 1 + c.random.IntN(streamEvents)
	}
	return a
}

// slowBody is an answer that its caller reads a few bytes at a time.
type slowBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b slowBody) Read(p []byte) (int, error) {
	const atATime, pause = 64, 5 * time.Millisecond
	time.Sleep(pause)
	return b.ReadCloser.Read(p[:min(len(p), atATime)])
}

// failedSend tells whether a request that got no answer may have reached an entry.
func failedSend(err error) Outcome {
	if strings.Contains(err.Error(), "connect: ") {
		return NoEntry
	}
	return Broken
}

// answerOf judges an answer.
func answerOf(ask standin.CallerRequest, r *http.Response) (Outcome, string) {
	switch r.StatusCode {
	case http.StatusOK:
		if ask.Path == standin.PathStream {
			return streamOf(ask, r.Body)
		}
		return plainOf(ask, r.Body)
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return Denied, r.Status
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		var refusal struct {
			Error, Run string
		}
		_ = json.NewDecoder(r.Body).Decode(&refusal) // without one nothing is promised
		return NotRun, refusal.Error
	}
	return Unknown, r.Status
}

func plainOf(ask standin.CallerRequest, body io.Reader) (Outcome, string) {
	got, err := io.ReadAll(body)
	if err != nil {
		return Broken, err.Error()
	}
	if string(got) != standin.ResponseBody(ask.ID) {
		return Wrong, fmt.Sprintf("answer %q", got)
	}
	return Whole, ""
}

// streamOf reads a stream: each event once and in order, and all of them if it ends well.
func streamOf(ask standin.CallerRequest, body io.Reader) (Outcome, string) {
	reader := bufio.NewReader(body)
	for n := 1; ; n++ {
		event, err := readEvent(reader)
		switch {
		case err == io.EOF && event == "" && n > ask.Events:
			return Whole, ""
		case err == io.EOF && event == "":
			return Wrong, fmt.Sprintf("stream ended well after %d of %d events", n-1, ask.Events)
		case err != nil:
			return Broken, fmt.Sprintf("after %d of %d events: %v", n-1, ask.Events, err)
		case event != standin.StreamEvent(ask.ID, n):
			return Wrong, fmt.Sprintf("event %d is %q", n, event)
		}
	}
}

// readEvent reads up to and with the empty line that ends an event.
func readEvent(r *bufio.Reader) (string, error) {
	var event strings.Builder
	for {
		line, err := r.ReadString('\n')
		event.WriteString(line)
		if err != nil || line == "\n" {
			return event.String(), err
		}
	}
}
