package dev

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/load"
	"github.com/briarturn/briarturn/rollout"
)

// Symptom: callers get errors while a new version is rolled out, or some engines
// keep the old one. Sequence: version 2 of the model and an adapter are applied
// under load; an engine dies and comes back with what it had at first.
// Cause: engines are changed under running requests, or once only.
func TestNewVersionUnderLoad(t *testing.T) {
	f := startSmall(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	done := make(chan *load.Report, 1)
	go func() {
		report, err := load.Run(ctx, load.Options{Targets: f.Targets(), Mix: testMix(t), Rate: 20, For: 20 * time.Second, Seed: 1})
		if err != nil {
			t.Error(err)
		}
		done <- report
	}()
	old, err := f.Store.Get(ctx, declared.KindModelPool, "briar-pool")
	if err != nil {
		t.Fatal(err)
	}
	next := strings.Replace(string(old.Data), `"version":"1"`, `"version":"2"`, 1)
	next = strings.Replace(next, `"replicas"`, `"adapters":[{"name":"notices","version":"1","source":"n/1"}],"replicas"`, 1)
	if _, err := f.Store.Update(ctx, old.Kind, old.Name, json.RawMessage(next), old.Version); err != nil {
		t.Fatal(err)
	}
	every := func(versions map[string]int) bool { return versions["2"] == 4 }
	awaitVersions(ctx, t, f, every)
	for _, b := range f.Backends {
		if b.Engine != nil {
			b.Engine.DieFor(200 * time.Millisecond)
			break
		}
	}
	awaitVersions(ctx, t, f, func(versions map[string]int) bool { return versions["1"] == 1 })
	awaitVersions(ctx, t, f, every)
	awaitConverged(ctx, t, f)
	report := <-done
	if t.Logf("%+v", report.All().Counts); !report.Whole() {
		t.Fatal("an answer was lost, doubled or crossed")
	}
}

// awaitVersions waits until the engines that serve each version of the model are
// as many as asked, as their agents say.
func awaitVersions(ctx context.Context, t *testing.T, f *Fleet, asked func(versions map[string]int) bool) {
	t.Helper()
	for versions := map[string]int{}; !asked(versions); {
		clear(versions)
		for _, b := range f.Backends {
			d := b.Agent.Descriptor()
			for _, w := range d.Weights {
				for _, version := range []string{"1", "2"} {
					if w.Name == "briar" && w.Version == backend.VersionKey(version) && slices.Contains(d.Models, w.Name) {
						versions[version]++
					}
				}
			}
		}
		pause(ctx, t)
	}
}

func awaitConverged(ctx context.Context, t *testing.T, f *Fleet) {
	t.Helper()
	for {
		var s rollout.Status
		if o, err := f.Store.Get(ctx, rollout.KindStatus, rollout.StatusName("briar-pool")); err == nil {
			if err := json.Unmarshal(o.Data, &s); err != nil {
				t.Fatal(err)
			}
		}
		for _, c := range s.Conditions {
			if c.Type == rollout.ConditionConverged && c.Status && s.Models[0].Current == 4 {
				return
			}
		}
		pause(ctx, t)
	}
}

func pause(ctx context.Context, t *testing.T) {
	t.Helper()
	select {
	case <-time.After(20 * time.Millisecond):
	case <-ctx.Done():
		t.Fatal("not so within the time limit")
	}
}
