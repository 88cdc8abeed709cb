package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/claim"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/slo"
	"github.com/briarturn/briarturn/wire/wirepb"
	"github.com/briarturn/briarturn/workspace"
)

// ServerTable is the table of backend servers. *backend.Table implements it.
type ServerTable interface {
	// Rows appends all rows of a pool to out, Sample some n of them and those
	// with the keys in also.
	Rows(pool string, out []backend.Row) []backend.Row
	Sample(pool string, n int, also []uint64, rnd *rand.Rand, out []backend.Row) []backend.Row
	// BeginDispatch and EndDispatch count what this entry has dispatched.
	BeginDispatch(name string, w backend.DispatchLoad, now time.Time) backend.Dispatch
	EndDispatch(d backend.Dispatch)
	// ObserveResponse takes in a load sample that an agent sent with an answer.
	ObserveResponse(name string, load backend.Load, now time.Time)
	Lookup(name string) (backend.Row, bool)
	// MarkSuspect notes that a server could not be reached.
	MarkSuspect(name string)
}

// Scheduler queues admitted requests and bounds what runs at once.
// *workspace.Scheduler implements it.
type Scheduler interface {
	// Submit waits for the item's turn. A failure is always "not run".
	Submit(ctx context.Context, item workspace.Item) (workspace.Ticket, *request.Failure)
	// AllowRetry takes one retry from the workspace's budget.
	AllowRetry(workspace string) bool
}

// AgentClient reaches agents by their drpc address. A run has a connection of its
// own; cancelling its context frees the run at the agent.
type AgentClient interface {
	Run(ctx context.Context, address string) (wirepb.DRPCAgent_RunClient, error)
	Hold(ctx context.Context, address string, in *wirepb.HoldRequest) (*wirepb.HoldResponse, error)
	ExtendHolds(ctx context.Context, address string, in *wirepb.HoldRefs) (*wirepb.HoldStates, error)
	ReleaseHolds(ctx context.Context, address string, in *wirepb.HoldRefs) (*wirepb.HoldStates, error)
}

// Claimer gives at-most-once execution to non-idempotent requests.
// *claim.Claimer implements it.
type Claimer interface {
	Claim(ctx context.Context, key claim.Key, attempt claim.Request) (claim.Grant, error)
	Settle(ctx context.Context, grant claim.Grant, outcome claim.Outcome) error
	// Issue returns a key of the workspace whose claims need no store.
	Issue(workspace string) string
}

// Pool is what the entry needs to know of a ModelPool.
type Pool struct {
	Name             string
	Models           []string
	Adapters         map[string]string // to the model of each
	MaxContextTokens int64             // longest prompt and output together; 0: no bound
	MaxTokens        int64             // greatest max_tokens; 0: the entry's limit
	// EngineMemoryTokens is the smallest KV memory of the pool's engines, 0 if
	// unknown; rows that say more prevail.
	EngineMemoryTokens int64
	// ShortShare: see routing.Query.
	ShortShare float64
	Policy     routing.Policy // nil: the entry's
}

// resolve returns the model and adapter that a caller's model name means in the
// pool. The pool's own name means its first model.
func (p *Pool) resolve(name string) (model, adapter string) {
	if base, ok := p.Adapters[name]; ok {
		return base, name
	}
	if name == p.Name && len(p.Models) > 0 && !slices.Contains(p.Models, name) {
		return p.Models[0], ""
	}
	return name, ""
}

// Workspace is what the entry needs to know of a WorkspacePolicy.
type Workspace struct {
	DefaultTimeout time.Duration // 0: the entry's limit
	MaxTimeout     time.Duration // 0: the entry's limit, which bounds both
	Classes        []ServiceClass
}

// ServiceClass is what a request that names it gets.
type ServiceClass struct {
	Name     string
	Priority int32         // see workspace.Item
	Timeout  time.Duration // 0: the workspace's default
}

// Catalog answers from the declared objects in force.
type Catalog interface {
	// Pool finds a pool by its name, or a model or adapter that it serves.
	Pool(model string) (Pool, bool)
	Pools() []Pool
	// Workspace finds a workspace whose requests are taken.
	Workspace(name string) (Workspace, bool)
	// Service reports whether there is a plain service of that name.
	Service(name string) bool
}

// Quarantine is what all entries know of fingerprints that were running when
// engines died. *quarantine.Tracker implements it.
type Quarantine interface {
	Verdict(fingerprint uint64, now time.Time) quarantine.Verdict
	// RecordDeath reports that the fingerprint ran when an engine died; death names
	// that death, which counts once however often it is reported.
	RecordDeath(fingerprint, death uint64, now time.Time) (quarantine.Record, bool)
	// RecordCompletion reports that the fingerprint ran alone to its end.
	RecordCompletion(fingerprint uint64, now time.Time)
}

// Config holds what an Entry is built from. A nil Claimer refuses keyed
// non-idempotent requests, a nil Quarantine is a Tracker of this entry alone, nil
// Costs and Prefixes learn nothing; the rest must be set, but for Limits.
type Config struct {
	Name        string
	Zone        string
	Region      string
	Incarnation uint64

	Servers     ServerTable
	Policy      routing.Policy
	Scheduler   Scheduler
	AgentClient AgentClient
	Claimer     Claimer
	Catalog     Catalog
	Quarantine  Quarantine
	Costs       *routing.CostModel   // the policy's, to record what engines report
	Prefixes    *routing.PrefixIndex // the policy's, to note what engines will cache

	// OnObservation is told what became of each prompt; nil for none.
	OnObservation func(slo.Observation)
	Metrics       metrics.Registry
	Log           logrus.FieldLogger
	Limits        Limits
}

// Limits bound what one request may take. Zero fields take their default.
type Limits struct {
	// MaxInProgress is how many requests are at the entry at a time, 8,000: beyond
	// it their bodies alone could fill its memory.
	MaxInProgress        int64
	MaxBodyBytes         int64         // 8 MiB
	MaxHeaderBytes       int           // 64 KiB
	HeaderTimeout        time.Duration // header of a request, 5 s
	ReadTimeout          time.Duration // whole request, 30 s
	WriteTimeout         time.Duration // one write to a slow caller, 30 s
	IdleTimeout          time.Duration // idle caller connection, 2 min
	DefaultTimeout       time.Duration // requests without X-Request-Timeout-Ms, 2 min
	MaxTimeout           time.Duration // greatest X-Request-Timeout-Ms, 30 min
	DefaultMaxTokens     int64         // 256
	MaxTokens            int64         // greatest max_tokens, 32768
	MaxPromptTokens      int64         // longest prompt, 1.2 M
	AdmissionTimeout     time.Duration // for an agent's Admit or Refuse, 2 s
	LongAdmissionTimeout time.Duration // the same for long prompts and suspects, which an agent may let wait, 5 s
	MaxRefusals          int           // refusals before giving up, 64
	MaxAttempts          uint32        // attempts that were admitted, 4
	HoldTTL              time.Duration // of a group's holds, 10 s
	// PlacementTimeFraction is the part of the time limit within which an agent must have
	// admitted the request, or a group's holds succeeded: 0.5.
	PlacementTimeFraction float64
	// GroupMemoryFraction is the part of an engine's memory that a group segment may
	// take, 0.8: the rest leaves room for short work.
	GroupMemoryFraction float64
	// TokensPerGroupMember is how many tokens of a long prompt one member of a group
	// takes, 128k, if more engines are there than its memory needs. Negative:
	// groups take as few members as fit.
	TokensPerGroupMember int64
	// MaxGroupMembers is the greatest size of a group, 16.
	MaxGroupMembers int
}

func (l Limits) withDefaults() Limits {
	l.MaxInProgress = cmp.Or(l.MaxInProgress, 8000)
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, 8<<20)
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, 64<<10)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, 5*time.Second)
	l.ReadTimeout = cmp.Or(l.ReadTimeout, 30*time.Second)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, 30*time.Second)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, 2*time.Minute)
	l.DefaultTimeout = cmp.Or(l.DefaultTimeout, 2*time.Minute)
	l.MaxTimeout = cmp.Or(l.MaxTimeout, 30*time.Minute)
	l.DefaultMaxTokens = cmp.Or(l.DefaultMaxTokens, 256)
	l.MaxTokens = cmp.Or(l.MaxTokens, 32<<10)
	l.MaxPromptTokens = cmp.Or(l.MaxPromptTokens, 1_200_000)
	l.AdmissionTimeout = cmp.Or(l.AdmissionTimeout, 2*time.Second)
	l.LongAdmissionTimeout = cmp.Or(l.LongAdmissionTimeout, 5*time.Second)
	l.MaxRefusals = cmp.Or(l.MaxRefusals, 64)
	l.MaxAttempts = cmp.Or(l.MaxAttempts, 4)
	l.HoldTTL = cmp.Or(l.HoldTTL, 10*time.Second)
	l.PlacementTimeFraction = cmp.Or(l.PlacementTimeFraction, 0.5)
	l.GroupMemoryFraction = cmp.Or(l.GroupMemoryFraction, 0.8)
	l.TokensPerGroupMember = cmp.Or(l.TokensPerGroupMember, 128_000)
	l.MaxGroupMembers = cmp.Or(l.MaxGroupMembers, 16)
	return l
}

// Entry is the role. It is safe for concurrent use.
type Entry struct {
	cfg    Config
	limits Limits
	log    logrus.FieldLogger
	meters meters
	mux    *http.ServeMux

	watch watchList

	running  atomic.Int64 // requests inside, queued ones included
	inFlight sync.WaitGroup

	mu       sync.Mutex // guards draining, and inFlight.Add against Drain
	draining bool
}

// New returns an Entry that is ready to serve.
func New(cfg Config) (*Entry, error) {
	switch {
	case cfg.Name == "":
		return nil, errors.NotValidf("entry without a name")
	case cfg.Servers == nil, cfg.Policy == nil, cfg.Scheduler == nil, cfg.AgentClient == nil, cfg.Catalog == nil:
		return nil, errors.NotValidf("entry %s: Servers, Policy, Scheduler, AgentClient and Catalog must be set; it", cfg.Name)
	case cfg.Metrics == nil || cfg.Log == nil:
		return nil, errors.NotValidf("entry %s: Metrics and Log must be set; it", cfg.Name)
	}
	e := &Entry{cfg: cfg, limits: cfg.Limits.withDefaults(), log: cfg.Log.WithField("entry", cfg.Name)}
	if e.cfg.Quarantine == nil {
		e.cfg.Quarantine = quarantine.NewTracker(quarantine.DefaultOptions)
	}
	e.meters = newMeters(cfg.Metrics)
	e.mux = e.routes()
	return e, nil
}

// Status is a snapshot for operators.
type Status struct {
	Name     string `json:"name"`
	Running  int64  `json:"running"` // requests inside, queued ones included
	Draining bool   `json:"draining"`
}

// Status returns a snapshot.
func (e *Entry) Status() Status {
	return Status{Name: e.cfg.Name, Running: e.running.Load(), Draining: !e.Ready()}
}

// random is for choices and jitter; it need not be secret.
func random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
