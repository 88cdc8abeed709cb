package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
)

// eventually waits until ok holds; the limit is far above what it takes.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: not within a minute", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Symptom: an engine serves nothing any more and keeps its old configuration,
// although it, its agent and all entries are well.
// Sequence: every entry is replaced on a new VM while the agent can't hear it,
// as when all of them go at once.
// Cause: the agent knew only entries that are gone, its seeds among them, and
// asked nobody else.
func TestAgentFindsEntriesThatWereAllReplaced(t *testing.T) {
	f := startSmall(t, nil)
	old := f.seeds()
	for i := range f.Entries {
		f.KillEntry(i)
	}
	for i, n := range f.Entries {
		if err := f.revive(i, f.placeOf(n)); err != nil {
			t.Fatal(err)
		}
	}
	for i, address := range f.seeds() {
		if address == old[i] {
			t.Fatalf("entry %d came back on its old address", i)
		}
	}
	eventually(t, "entries know every backend server", f.settled)
	status, err := say(t.Context(), f.Targets()[0], "are you there", 8)
	if err != nil || status != http.StatusOK {
		t.Fatalf("status %d, %v", status, err)
	}
}

// rolled sends requests in a loop as callers behind a balancer do: it asks ready
// entries only, and what an entry refused as draining, and what found nobody
// listening, goes to the next.
type rolled struct {
	client *http.Client
	ready  func() []string

	mu    sync.Mutex // guards the counts
	sent  int
	moved int
	lost  []string
}

func (r *rolled) loop(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		r.send(caller, n)
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *rolled) send(caller, n int) {
	for i := range 10 {
		targets := r.ready()
		word := r.once(targets[(caller+n+i)%len(targets)], caller, n)
		r.mu.Lock()
		switch word {
		case "moved":
			r.moved++
		case "":
			r.sent++
		default:
			r.lost = append(r.lost, word)
		}
		r.mu.Unlock()
		if word != "moved" {
			return
		}
	}
}

// once returns "" for a success, "moved" if the next entry is to be asked, and
// else what was lost.
func (r *rolled) once(target string, caller, n int) string {
	path, body := "/v1/chat/completions", fmt.Sprintf(
		`{"model":"briar-pool","max_tokens":60,"messages":[{"role":"user","content":"caller %d prompt %d"}]}`, caller, n)
	if n%3 == 0 {
		path, body = "/services/roster-app/confirm", "{}"
	}
	req, err := http.NewRequest(http.MethodPost, target+path, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.GetBody = nil
	req.Header.Set("X-Workspace", "appointments")
	if n%3 == 0 {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("roll-%d-%d", caller, n))
	}
	var conn httptrace.GotConnInfo
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { conn = c }}
	began := time.Now()
	resp, err := r.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if dial, ok := errors.AsType[*net.OpError](err); ok && dial.Op == "dial" {
		return "moved"
	}
	if err != nil {
		return fmt.Sprintf("%v after %v; connection reused %v, idle for %v", err, time.Since(began), conn.Reused, conn.IdleTime)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	if resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(string(data), `"reason":"draining"`) &&
		strings.Contains(string(data), `"code":"not_run"`) {
		return "moved"
	}
	if resp.StatusCode != http.StatusOK {
		return string(data)
	}
	return ""
}

// Symptom: requests are cut off or refused while the fleet is rolled.
// Sequence: every entry and every agent is drained, ended and replaced, one
// after the other, under load.
// Cause: a process ended before its work did, or was asked for more.
func TestRollingReplacementLosesNothing(t *testing.T) {
	f := startSmall(t, func(c *Config) { c.Entries = 3 })
	r := &rolled{ready: f.readyTargets, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() { r.loop(ctx, i) })
	}
	for i := range f.Entries {
		if err := f.ReplaceEntry(ctx, i); err != nil {
			t.Error(err)
		}
		eventually(t, "the new entry knows every backend server", f.settled)
	}
	for _, b := range f.Backends {
		if err := f.ReplaceAgent(ctx, b); err != nil {
			t.Error(err)
		}
		eventually(t, "the new agent is known", func() bool { return f.live(b.Name) })
	}
	stop()
	callers.Wait()
	t.Logf("entries %d, agents %d replaced; requests %d, moved on %d, lost %d", len(f.Entries), len(f.Backends), r.sent, r.moved, len(r.lost))
	if len(r.lost) > 0 {
		t.Errorf("lost: %s", r.lost[:min(5, len(r.lost))])
	}
	if n := f.DoubleRuns(); n > 0 {
		t.Errorf("%d keys ran twice", n)
	}
}

func (f *Fleet) readyTargets() []string {
	var out []string
	for _, n := range f.LiveEntries() {
		if n.Ready() == nil {
			out = append(out, "http://"+n.Address())
		}
	}
	return out
}

// live reports whether every entry takes a backend server for live.
func (f *Fleet) live(name string) bool {
	for _, n := range f.LiveEntries() {
		ok := false
		for _, s := range n.Status().Servers {
			ok = ok || s.Name == name && s.State == "live" && !s.Draining
		}
		if !ok {
			return false
		}
	}
	return true
}
