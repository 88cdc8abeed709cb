package chaos

import (
	"strings"
	"time"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/load"
	standinengine "github.com/briarturn/briarturn/internal/standin/engine"
)

const (
	pool    = "briar-pool"
	service = "roster-app"
	// workspace is the load's, contested the one whose policy operators race on.
	workspace = "appointments"
	contested = "contested"
	// killMarker in a prompt kills the engine that runs it.
	killMarker = "CRASH-THIS-ENGINE"
	// engineRestart is how soon such an engine is back.
	engineRestart = 500 * time.Millisecond
)

// objects is a deployment of six engines, of which the longest prompts need
// more than two, and three replicas of a service.
const objects = `[
{"kind":"ModelPool","name":"briar-pool","spec":{
  "models":[{"name":"briar","version":"1","source":"briar/1","replicas":{"mixed":6}}],
  "engine":{"prefill_rate":400000,"decode_rate":20000,"memory_tokens":200000},
  "zones":["hobart","launceston","burnie"]}},
{"kind":"BackendServerSet","name":"engines","spec":{
  "pool":"briar-pool","zones":["hobart","launceston","burnie"],
  "template":{"name":"engine-{index}","address":"127.0.0.1:9{index}","first":100,"count":6}}},
{"kind":"BackendServerSet","name":"roster","spec":{
  "pool":"roster-app","service":true,"zones":["hobart","launceston","burnie"],
  "template":{"name":"roster-{index}","address":"127.0.0.1:8{index}","first":100,"count":3}}},
{"kind":"WorkspacePolicy","name":"appointments","spec":{}},
{"kind":"WorkspacePolicy","name":"contested","spec":{}}
]`

func deployment() ([]declared.DecodedObject, error) {
	return declared.DecodeManifests(strings.NewReader(objects))
}

func engineConfig(p *declared.ModelPool) standinengine.Config {
	cfg := standinengine.DefaultConfig()
	cfg.PrefillRate = float64(p.Engine.PrefillRate)
	cfg.MemoryTokens = int(p.Engine.MemoryTokens)
	cfg.KillMarker = killMarker
	cfg.RestartAfter = engineRestart
	return cfg
}

// mix is the load: every length class, with time limits that end soon after the
// last fault.
func mix() *load.Mix {
	chat := func(name string, share float64, low, high int, limit time.Duration) load.ClassSpec {
		return load.ClassSpec{
			Name: name, Kind: load.KindChat, Share: share, Stream: true,
			PromptTokens: load.Range{Min: low, Max: high},
			OutputTokens: load.Range{Min: 16, Max: 96},
			TimeoutMS:    limit.Milliseconds(),
		}
	}
	draft := chat("draft", 0.15, 1000, 3999, 10*time.Second)
	draft.Kind, draft.Stream = load.KindCompletion, false
	return &load.Mix{
		Name:       "chaos",
		Model:      pool,
		Workspaces: []load.WorkspaceShare{{Name: workspace, Weight: 1}},
		Classes: []load.ClassSpec{
			{Name: "confirm", Kind: load.KindService, Service: service, Share: 0.15, TimeoutMS: 5000},
			chat("notice", 0.54, 1000, 3999, 10*time.Second),
			draft,
			chat("history", 0.12, 4000, 31_999, 15*time.Second),
			chat("season", 0.03, 32_000, 99_999, 20*time.Second),
			chat("register", 0.01, 250_000, 500_000, 30*time.Second),
		},
	}
}
