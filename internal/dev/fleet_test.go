package dev

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/load"
)

// small is a deployment of four engines and two replicas of a plain service.
const small = `[
{"kind":"ModelPool","name":"briar-pool","spec":{
  "models":[{"name":"briar","version":"1","source":"briar/1","replicas":{"mixed":4}}],
  "engine":{"prefill_rate":200000,"decode_rate":20000,"memory_tokens":400000},
  "zones":["hobart","burnie"]}},
{"kind":"BackendServerSet","name":"engines","spec":{
  "pool":"briar-pool","zones":["hobart","burnie"],
  "template":{"name":"engine-{index}","address":"127.0.0.1:9{index}","first":100,"count":4}}},
{"kind":"BackendServerSet","name":"roster","spec":{
  "pool":"roster-app","service":true,"zones":["hobart","burnie"],
  "template":{"name":"roster-{index}","address":"127.0.0.1:8{index}","first":100,"count":2}}}
]`

func startSmall(t *testing.T, change func(*Config)) *Fleet {
	t.Helper()
	objects, err := declared.DecodeManifests(strings.NewReader(small))
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range testMix(t).Workspaces {
		policy := `{"kind":"WorkspacePolicy","name":"` + w.Name + `","spec":{}}`
		more, err := declared.DecodeManifests(strings.NewReader(policy))
		if err != nil {
			t.Fatal(err)
		}
		objects = append(objects, more...)
	}
	cfg := Config{Objects: objects, Entries: 2}
	if change != nil {
		change(&cfg)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := Start(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func testMix(t *testing.T) *load.Mix {
	t.Helper()
	mix, err := load.LoadMix("derwent")
	if err != nil {
		t.Fatal(err)
	}
	return mix
}

func TestWholePathGivesEachCallerItsAnswer(t *testing.T) {
	f := startSmall(t, nil)
	report, err := load.Run(t.Context(), load.Options{
		Targets: f.Targets(), Mix: testMix(t), Rate: 40, For: 2 * time.Second, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if counts := report.All().Counts; counts.Finished < counts.Sent*9/10 {
		t.Fatalf("finished %d of %d: %+v", counts.Finished, counts.Sent, counts)
	}
	if !report.Whole() || f.DoubleRuns() > 0 {
		t.Fatalf("double runs %d, counts %+v", f.DoubleRuns(), report.All().Counts)
	}
}
