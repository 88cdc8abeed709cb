package dev

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/entry"
	"github.com/briarturn/briarturn/internal/load"
	standinengine "github.com/briarturn/briarturn/internal/standin/engine"
)

const (
	abuseTimeout = 300 * time.Millisecond
	abuseBody    = 1 << 20
	abuseHeaders = 16 << 10
	// settleLimit bounds the wait for everything to be freed.
	settleLimit = 30 * time.Second
)

// startAbused starts a fleet with tight limits towards callers.
func startAbused(t *testing.T) *Fleet {
	return startSmall(t, func(c *Config) {
		c.EntryLimits = entry.Limits{
			MaxBodyBytes: abuseBody, MaxHeaderBytes: abuseHeaders,
			HeaderTimeout: abuseTimeout, ReadTimeout: abuseTimeout, WriteTimeout: abuseTimeout,
			MaxTokens: 1 << 20,
		}
		c.Engine = func(*declared.ModelPool) standinengine.Config {
			cfg := standinengine.DefaultConfig()
			cfg.MemoryTokens = 10_000_000
			cfg.DecodeBase = 50 * time.Microsecond
			return cfg
		}
	})
}

// head is an HTTP request up to its body.
func head(f *Fleet, length int, more string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Workspace: appointments\r\nContent-Length: %d\r\n%s\r\n", length, more)
}

func dialEntry(t *testing.T, f *Fleet) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.Entries[0].Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange writes a text and reads until the entry closes the connection.
func exchange(t *testing.T, f *Fleet, text string) string {
	t.Helper()
	conn := dialEntry(t, f)
	// The entry may close the connection before it has read all: both errors
	// are part of that.
	_, _ = io.WriteString(conn, text)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// wantFreed waits until no process holds anything for a request.
func wantFreed(t *testing.T, f *Fleet) {
	t.Helper()
	deadline := time.Now().Add(settleLimit)
	for {
		left := held(f)
		if left == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("still held: %s", left)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func held(f *Fleet) string {
	var left []string
	for i, n := range f.Entries {
		if s := n.Status(); s.Running+s.Queued > 0 {
			left = append(left, fmt.Sprintf("entry %d runs %d, queues %d", i, s.Running, s.Queued))
		}
	}
	for _, b := range f.Backends {
		s := b.Agent.Status().Servers[0]
		if s.Running+s.Waiting+s.UsedTokens+s.HeldTokens > 0 {
			left = append(left, fmt.Sprintf("agent %s %+v", b.Name, s))
		}
		if b.Engine != nil && b.Engine.Counters().UsedMemory > 0 {
			left = append(left, fmt.Sprintf("engine %s %+v", b.Name, b.Engine.Counters()))
		}
	}
	return strings.Join(left, "; ")
}

// count sums a counter over registries.
func count(registries []metrics.Registry, name string) int64 {
	var n int64
	for _, r := range registries {
		n += metrics.GetOrRegisterCounter(name, r).Count()
	}
	return n
}

func (f *Fleet) registries() []metrics.Registry {
	all := append([]metrics.Registry(nil), f.Metrics...)
	for _, b := range f.Backends {
		all = append(all, b.Metrics)
	}
	return all
}

// wantWhole sends load and expects every answer whole.
func wantWhole(t *testing.T, f *Fleet) {
	t.Helper()
	report, err := load.Run(t.Context(), load.Options{
		Targets: f.Targets(), Mix: testMix(t), Rate: 20, For: time.Second, Seed: 2,
		Only: load.Subset{Short: true},
	})
	if err != nil {
		t.Fatal(err)
	}
	if c := report.All().Counts; !report.Whole() || c.Finished != c.Sent {
		t.Errorf("after abuse: %+v", c)
	}
}

// Symptom: an entry runs out of memory, goroutines or engines under callers that
// are broken or hostile; others get no answer.
// Sequence: each kind of such a caller against a real entry, one after another;
// then ordinary load.
// Cause: a limit that is missing, or a path that frees nothing.
func TestHostileCallers(t *testing.T) {
	f := startAbused(t)
	nobodys := `{"model":"q","messages":[{"role":"user","content":"x"}]}`
	stream := `{"model":"briar-pool","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`
	for _, c := range []struct {
		name, text string
		want       []string // parts of the answer
	}{
		{"oversized body", head(f, abuseBody+1, "") + strings.Repeat("x", abuseBody+1), []string{" 413 ", "not_run", "too_large"}},
		{"endless chunked body", strings.Replace(head(f, 0, ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) +
			strings.Repeat("10000\r\n"+strings.Repeat("x", 0x10000)+"\r\n", abuseBody>>16+1), []string{" 413 ", "not_run", "too_large"}},
		{"malformed JSON", head(f, 3, "Connection: close\r\n") + `{"a`, []string{" 400 ", "not_run", "bad_json"}},
		{"broken UTF-8", head(f, 2, "Connection: close\r\n") + "\xff\xfe", []string{" 400 ", "not_run", "bad_utf8"}},
		{"unknown model", head(f, len(nobodys), "Connection: close\r\n") + nobodys, []string{" 404 ", "not_run", "unknown_model"}},
		{"absurd limit", head(f, 0, "X-Request-Timeout-Ms: 1e400\r\nConnection: close\r\n"), []string{" 400 ", "not_run", "bad_request"}},
		{"header flood", head(f, 0, strings.Repeat("X-Flood: "+strings.Repeat("y", 1000)+"\r\n", 40)), []string{" 431 "}},
		{"body that never comes", head(f, 100, "") + "{", []string{" 408 ", "not_run", "slow_body"}},
		{"header that never ends", "POST /v1/chat/completions HTTP/1.1\r\nHost:", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := exchange(t, f, c.text)
			for _, part := range c.want {
				if !strings.Contains(answer, part) {
					t.Errorf("no %q in %.400q", part, answer)
				}
			}
		})
	}
	t.Run("vanished in the middle of a stream", func(t *testing.T) {
		conn := dialEntry(t, f)
		body := fmt.Sprintf(stream, 1<<20)
		_, _ = io.WriteString(conn, head(f, len(body), "")+body)
		first := make([]byte, 100)
		if _, err := io.ReadFull(conn, first); err != nil || !bytes.Contains(first, []byte(" 200 ")) {
			t.Fatalf("%v %q", err, first)
		}
		_ = conn.Close()
		wantFreed(t, f)
	})
	t.Run("reader that stopped", func(t *testing.T) {
		conn := dialEntry(t, f)
		body := fmt.Sprintf(stream, 1<<20)
		_, _ = io.WriteString(conn, head(f, len(body), "")+body)
		if _, err := io.ReadFull(conn, make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		wantFreed(t, f) // the connection is still open and unread
	})
	wantFreed(t, f)
	if cancelled, finished := engineEnds(f); cancelled != 2 || finished != 0 {
		t.Errorf("engines: %d runs cancelled, %d finished, want the 2 streams cancelled", cancelled, finished)
	}
	wantWhole(t, f)
}

// engineEnds tells how the runs of all engines ended.
func engineEnds(f *Fleet) (cancelled, finished int64) {
	for _, b := range f.Backends {
		if b.Engine != nil {
			c := b.Engine.Counters()
			cancelled += c.Cancelled
			finished += c.Finished
		}
	}
	return cancelled, finished
}

// Symptom: an agent or entry ends, or loses requests, when a port scanner or a
// broken peer finds its ports.
// Sequence: random bytes on every drpc and datagram port while load runs.
// Cause: something is decoded before it is checked.
func TestGarbageOnInnerPorts(t *testing.T) {
	f := startSmall(t, nil)
	rnd := rand.New(rand.NewPCG(1, 1))
	garbage := func() []byte {
		b := make([]byte, 1+rnd.IntN(600))
		for i := range b {
			b[i] = byte(rnd.Uint32())
		}
		return b
	}
	ports := map[string][]string{}
	for _, n := range f.Entries {
		ports["tcp"] = append(ports["tcp"], n.RPCAddress())
		ports["udp"] = append(ports["udp"], n.DatagramAddress())
	}
	for _, b := range f.Backends {
		ports["tcp"] = append(ports["tcp"], b.Agent.Descriptor().RPCAddress)
		ports["udp"] = append(ports["udp"], b.Agent.DatagramAddress())
	}
	for network, addresses := range ports {
		for _, address := range addresses {
			for range 20 {
				conn, err := net.Dial(network, address)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = conn.Write(garbage())
				_, _ = io.WriteString(conn, http.MethodGet+" / HTTP/1.1\r\n\r\n")
				_ = conn.Close()
			}
		}
	}
	wantWhole(t, f)
	all := f.registries()
	dropped := count(all, "wire.datagrams.undecodable") + count(all, "wire.datagrams.out_of_bounds")
	if dropped == 0 || count(all, "wire.server.malformed") == 0 {
		t.Errorf("datagrams dropped %d, connections malformed %d", dropped, count(all, "wire.server.malformed"))
	}
	wantFreed(t, f)
}
