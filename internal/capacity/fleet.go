package capacity

import (
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/node"
)

// Sizes of the fleet that the design is built towards.
const (
	largeEntries         = 430       // entries
	largeBackends        = 12_000    // engines, one agent each
	largeRequests        = 4_900     // requests/s at the peak
	largeTokens          = 1_800_000 // tokens generated/s at the peak
	largeWorkspaces      = 540
	largeModels          = 14
	largeRegions         = 5
	largeZones           = 16
	largeChanges         = 15_000 // changes of declared objects a day
	largeFailures        = 200    // VMs that fail a day
	largeRestarts        = 1_100  // VMs restarted or replaced a day
	largeConfigDelay     = 9 * time.Second
	largeTTFT            = 1700 * time.Millisecond
	largeInterTokenDelay = 56 * time.Millisecond
)

// Limits of a node for control, and of the platform.
const (
	limitCPU    = 4.8    // % of a core
	limitMemory = 32e6   // bytes
	limitBytes  = 3000   // bytes/s, in and out
	limitWrites = 300    // store writes/s; "several hundred", taken at the low end
	limitReads  = 2000   // store reads/s
	secondsADay = 86_400 // s
)

// Assumptions where no size is given.
const (
	// keyedShare is the part of requests that carry an idempotency key and so
	// make a claim.
	keyedShare = 0.01
	// bytesPerToken of a prompt's text.
	bytesPerToken = 4
	// shortPromptTokens and longPromptTokens are mean prompts; one in
	// longPromptOneIn is a long one.
	shortPromptTokens = 4_000
	longPromptTokens  = 250_000
	longPromptOneIn   = 50
	// levelsPerWorkspace are declared service levels, say for short and for long
	// prompts; each has two targets: first token, and time between tokens.
	levelsPerWorkspace = 2
	targetsPerLevel    = 2
	// suspects known at a time.
	suspects = 1_000
	// garbage is heap over live heap, as the daemon sets the collector.
	garbage = 1 + node.GCPercent/100.0
)

// Fleet is the size of a deployment. Rates are per second unless said.
type Fleet struct {
	Name           string
	Entries        int
	Backends       int // engines and plain services, one agent each
	Requests       float64
	Tokens         float64
	Workspaces     int
	Models         int
	Regions        int
	Zones          int
	ChangesPerDay  float64
	FailuresPerDay float64
	RestartsPerDay float64
	ConfigDelay    time.Duration // limit
	TTFT           time.Duration // target, for the number of open streams
	InterToken     time.Duration // target, likewise
	KeyedShare     float64       // of requests
}

// Fleets by name. Where a deployment of today gives no rate, a round one is
// assumed: 40 requests/s.
var fleets = map[string]Fleet{
	"letter": {
		Name: "letter", Entries: largeEntries, Backends: largeBackends,
		Requests: largeRequests, Tokens: largeTokens, Workspaces: largeWorkspaces,
		Models: largeModels, Regions: largeRegions, Zones: largeZones,
		ChangesPerDay: largeChanges, FailuresPerDay: largeFailures, RestartsPerDay: largeRestarts,
		ConfigDelay: largeConfigDelay, TTFT: largeTTFT, InterToken: largeInterTokenDelay,
		KeyedShare: keyedShare,
	},
	"derwent": today("derwent", 16+3),
	"atlas":   today("atlas", 21+3),
}

// today is a deployment of the present size.
func today(name string, backends int) Fleet {
	return Fleet{
		Name: name, Entries: 3, Backends: backends,
		Requests: 40, Tokens: 15_000, Workspaces: 10, Models: 1, Regions: 1, Zones: 3,
		ChangesPerDay: 100, FailuresPerDay: 1, RestartsPerDay: 3,
		ConfigDelay: largeConfigDelay, TTFT: largeTTFT, InterToken: largeInterTokenDelay,
		KeyedShare: 0.2,
	}
}

// FleetNamed returns letter, derwent or atlas; else the error matches ErrFleet.
func FleetNamed(name string) (Fleet, error) {
	f, ok := fleets[name]
	if !ok {
		return f, errors.Annotatef(ErrFleet, "%q, want letter, derwent or atlas", name)
	}
	return f, nil
}

// entriesPerRegion and the others below are even shares.
func (f Fleet) entriesPerRegion() float64 { return float64(f.Entries) / float64(f.Regions) }

func (f Fleet) backendsPerRegion() float64 { return float64(f.Backends) / float64(f.Regions) }

// openStreams of the whole fleet: arrivals times the time that each stays.
func (f Fleet) openStreams() float64 {
	perRequest := f.Tokens / f.Requests
	stay := f.TTFT.Seconds() + perRequest*f.InterToken.Seconds()
	return f.Requests * stay
}

// objects declared: a policy and service levels for each workspace, and a pool
// and a set of servers for each model; one set of a plain service more.
func (f Fleet) objects() float64 {
	return float64((1+levelsPerWorkspace)*f.Workspaces + 2*f.Models + 1)
}
