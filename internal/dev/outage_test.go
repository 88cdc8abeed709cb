package dev

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
)

// outageFor is longer in runs for figures than in CI.
var outageFor = flag.Duration("outage", 6*time.Second, "length of the store's outage")

const outageCallEvery = 20 * time.Millisecond

// confirmOnce sends one confirmation and returns its status.
func confirmOnce(ctx context.Context, target, key string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/services/roster-app/confirm", strings.NewReader("{}"))
	if err != nil {
		return 0, err
	}
	req.GetBody = nil
	req.Header.Set("X-Workspace", "appointments")
	req.Header.Set("X-Request-Timeout-Ms", "5000")
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// issued fetches a key from an entry.
func issued(target string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, target+"/v1/idempotency-keys", nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("X-Workspace", "appointments")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", errors.Errorf("status %d", resp.StatusCode)
	}
	var out struct {
		Key string `json:"key"`
	}
	return out.Key, json.NewDecoder(resp.Body).Decode(&out)
}

// tally counts confirmations by status. mu guards both.
type tally struct {
	mu       sync.Mutex
	statuses map[int]int
	failed   []string // keys to send again
}

func (c *tally) add(key string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
	if status != http.StatusOK {
		c.failed = append(c.failed, key)
	}
}

// Symptom: confirmations stop with the store, or run twice once it is back.
// Sequence: the store is down; officials confirm with keys that entries issue
// and with keys of their own; what failed is sent again, through another entry,
// during the outage and after it.
// Cause: a claim that needs the store though its issuer lives, or one that was
// taken for not made.
func TestConfirmationsInAStoreOutage(t *testing.T) {
	f := startSmall(t, func(c *Config) { c.Entries = 3 })
	targets := f.Targets()
	f.Store.SetFaults(standinobjectapi.Faults{Down: true})
	byIssue, byOwn := &tally{statuses: map[int]int{}}, &tally{statuses: map[int]int{}}
	outage, end := context.WithTimeout(t.Context(), *outageFor)
	defer end()
	var calls sync.WaitGroup
	for i := 0; outage.Err() == nil; i++ {
		calls.Go(func() {
			key, err := issued(targets[i%3])
			if err != nil {
				t.Error(err)
				return
			}
			status, err := confirmOnce(t.Context(), targets[(i+i/3)%3], key)
			if err != nil {
				t.Error(err)
			}
			byIssue.add(key, status)
		})
		calls.Go(func() {
			key := fmt.Sprintf("own-%d", i)
			status, err := confirmOnce(t.Context(), targets[i%3], key)
			if err != nil {
				t.Error(err)
			}
			byOwn.add(key, status)
		})
		time.Sleep(outageCallEvery)
	}
	calls.Wait()
	f.Store.SetFaults(standinobjectapi.Faults{})
	again := &tally{statuses: map[int]int{}}
	for i, key := range append(byIssue.failed, byOwn.failed...) {
		eventually(t, "a confirmation after the outage", func() bool {
			status, err := confirmOnce(t.Context(), targets[(i+1)%3], key)
			if err != nil {
				t.Fatal(err)
			}
			if status == http.StatusOK {
				again.add(key, status)
			}
			return status == http.StatusOK
		})
	}
	t.Logf("outage %v: issued keys %v, own keys %v, sent again after it %v, ran twice %d",
		*outageFor, byIssue.statuses, byOwn.statuses, again.statuses, f.DoubleRuns())
	if len(byIssue.failed) > 0 {
		t.Errorf("%d confirmations under issued keys failed", len(byIssue.failed))
	}
	if n := f.DoubleRuns(); n > 0 {
		t.Errorf("%d keys ran twice: %v", n, f.twice())
	}
}

// twice names the keys that ran more than once, and where.
func (f *Fleet) twice() map[string]string {
	runs, where := map[string]int{}, map[string]string{}
	for _, b := range f.Backends {
		if b.Service == nil {
			continue
		}
		for key, n := range b.Service.Runs() {
			runs[key] += n
			where[key] += fmt.Sprintf(" %s:%d", b.Name, n)
		}
	}
	for key, n := range runs {
		if n < 2 {
			delete(where, key)
		}
	}
	return where
}
