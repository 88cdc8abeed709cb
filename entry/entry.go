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
	// Rows appends all rows of a pool to out. Sample appends a random sample
	// of about n of them and the rows whose keys are in also.
	Rows(pool string, out []backend.Row) []backend.Row
	Sample(pool string, n int, also []uint64, rnd *rand.Rand, out []backend.Row) []backend.Row
	// BeginDispatch and EndDispatch count the work that this entry has dispatched.
	BeginDispatch(name string, w backend.DispatchLoad, now time.Time) backend.Dispatch
	EndDispatch(d backend.Dispatch)
	// ObserveResponse records a load sample that an agent sent with an answer.
	ObserveResponse(name string, load backend.Load, now time.Time)
	Lookup(name string) (backend.Row, bool)
	// MarkSuspect marks a server that could not be reached.
	MarkSuspect(name string)
}

// Scheduler queues admitted requests and limits how many run concurrently.
// *workspace.Scheduler implements it.
type Scheduler interface {
	// Submit waits until the item is scheduled. A failure always means that the
	// request has not run.
	Submit(ctx context.Context, item workspace.Item) (workspace.Ticket, *request.Failure)
	// AllowRetry withdraws one retry from the workspace's retry budget and
	// reports whether the budget allowed it.
	AllowRetry(workspace string) bool
}

// AgentClient calls agents by their drpc address. Each run has its own
// connection; cancelling the context of a run ends the run at the agent.
type AgentClient interface {
	Run(ctx context.Context, address string) (wirepb.DRPCAgent_RunClient, error)
	Hold(ctx context.Context, address string, in *wirepb.HoldRequest) (*wirepb.HoldResponse, error)
	ExtendHolds(ctx context.Context, address string, in *wirepb.HoldRefs) (*wirepb.HoldStates, error)
	ReleaseHolds(ctx context.Context, address string, in *wirepb.HoldRefs) (*wirepb.HoldStates, error)
}

// Claimer provides at-most-once execution of non-idempotent requests.
// *claim.Claimer implements it.
type Claimer interface {
	Claim(ctx context.Context, key claim.Key, attempt claim.Request) (claim.Grant, error)
	Settle(ctx context.Context, grant claim.Grant, outcome claim.Outcome) error
	// Issue returns a new idempotency key of the workspace. Claims of an issued
	// key need no store.
	Issue(workspace string) string
}

// Pool holds the settings of a ModelPool that the entry uses.
type Pool struct {
	Name             string
	Models           []string
	Adapters         map[string]string // adapter name -> name of its base model
	MaxContextTokens int64             // maximum of prompt and output tokens together; 0: no limit
	MaxTokens        int64             // maximum max_tokens of a request; 0: the entry's limit
	// EngineMemoryTokens is the smallest KV memory of the pool's engines, in
	// tokens, 0 if unknown. It applies only while no row of the pool reports
	// its capacity.
	EngineMemoryTokens int64
	// ShortShare is passed on in routing.Query.
	ShortShare float64
	Policy     routing.Policy // nil: the entry's policy
}

// resolve maps a model name from a request to a model and an adapter of the
// pool. The name of the pool itself stands for its first model.
func (p *Pool) resolve(name string) (model, adapter string) {
	if base, ok := p.Adapters[name]; ok {
		return base, name
	}
	if name == p.Name && len(p.Models) > 0 && !slices.Contains(p.Models, name) {
		return p.Models[0], ""
	}
	return name, ""
}

// Workspace holds the settings of a WorkspacePolicy that the entry uses.
type Workspace struct {
	DefaultTimeout time.Duration // 0: the entry's default
	MaxTimeout     time.Duration // 0: the entry's limit; the entry's limit is the upper bound of both
	Classes        []ServiceClass
}

// ServiceClass holds the priority and time limit of requests that name the class.
type ServiceClass struct {
	Name     string
	Priority int32         // see workspace.Item
	Timeout  time.Duration // 0: the workspace's default
}

// Catalog looks up the declared objects that are in force.
type Catalog interface {
	// Pool finds a pool by its name or by the name of a model or adapter that it
	// serves.
	Pool(model string) (Pool, bool)
	Pools() []Pool
	// Workspace finds a workspace whose requests are accepted.
	Workspace(name string) (Workspace, bool)
	// Service reports whether a plain service of that name exists.
	Service(name string) bool
	// Confirmed reports whether the objects were confirmed as current recently enough to
	// refuse a request for good because one is missing.
	Confirmed() bool
}

// Quarantine tracks the fingerprints of prompts that were running when engines
// died, over all entries. *quarantine.Tracker implements it.
type Quarantine interface {
	Verdict(fingerprint uint64, now time.Time) quarantine.Verdict
	// RecordDeath records that the fingerprint was running when an engine died.
	// death identifies that death; repeated reports of it count once.
	RecordDeath(fingerprint, death uint64, now time.Time) (quarantine.Record, bool)
	// RecordCompletion records that the fingerprint ran alone and completed.
	RecordCompletion(fingerprint uint64, now time.Time)
}

// Config configures an Entry. With a nil Claimer, non-idempotent requests with a
// key are refused; a nil Quarantine is replaced by a Tracker that only this entry
// uses; with nil Costs or Prefixes nothing is recorded for them. The other fields
// must be set, except OnObservation and Limits.
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
	Parts       *quarantine.PartTracker // if nil, the entry creates one
	Costs       *routing.CostModel      // shared with the policy; records the costs that engines report
	Prefixes    *routing.PrefixIndex    // shared with the policy; records the prefixes that engines will cache

	// OnPartDeath is called with each death that counts against parts of a prompt for the first
	// time at this entry; nil for no calls. It must not block.
	OnPartDeath func(quarantine.PartDeath)
	// OnObservation is called with the outcome of each prompt; nil for no calls.
	OnObservation func(slo.Observation)
	Metrics       metrics.Registry
	Log           logrus.FieldLogger
	Limits        Limits
}

// Limits bound the resources of a request and of the entry. A zero field takes
// the default that its comment states.
type Limits struct {
	// MaxInProgress is the maximum number of requests in the entry at a time,
	// 8,000. More could fill its memory with their bodies alone.
	MaxInProgress        int64
	MaxBodyBytes         int64         // 8 MiB
	MaxHeaderBytes       int           // 64 KiB
	HeaderTimeout        time.Duration // to read the header of a request, 5 s
	ReadTimeout          time.Duration // to read the body of a request, 30 s
	WriteTimeout         time.Duration // for one write to the caller, 30 s
	IdleTimeout          time.Duration // of an idle caller connection, 2 min
	DefaultTimeout       time.Duration // of requests without X-Request-Timeout-Ms, 2 min
	MaxTimeout           time.Duration // maximum X-Request-Timeout-Ms, 30 min
	DefaultMaxTokens     int64         // max_tokens of requests that set none, 256
	MaxTokens            int64         // maximum max_tokens, 32768
	MaxPromptTokens      int64         // maximum length of a prompt, 1.2 M
	AdmissionTimeout     time.Duration // to receive an agent's Admit or Refuse, 2 s
	LongAdmissionTimeout time.Duration // the same for long and run-alone prompts, which an agent may queue, 5 s
	MaxRefusals          int           // refusals after which a request fails, 64
	MaxAttempts          uint32        // attempts of a request that agents admitted, 4
	HoldTTL              time.Duration // lifetime of a group's memory holds unless extended, 10 s
	// GroupMemoryFraction is the fraction of an engine's memory that a group
	// segment may use, 0.8. The rest remains free for short requests.
	GroupMemoryFraction float64
	// TokensPerGroupMember is how many tokens of a long prompt each member of a
	// group processes, 128k, if the pool has more engines than the prompt needs
	// for its memory. Negative: a group has the fewest members that the prompt
	// fits on.
	TokensPerGroupMember int64
	// MaxGroupMembers is the maximum size of a group, 16.
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
	l.GroupMemoryFraction = cmp.Or(l.GroupMemoryFraction, 0.8)
	l.TokensPerGroupMember = cmp.Or(l.TokensPerGroupMember, 128_000)
	l.MaxGroupMembers = cmp.Or(l.MaxGroupMembers, 16)
	return l
}

// Entry serves the HTTP API for callers and runs their requests on backend
// servers. It is safe for concurrent use.
type Entry struct {
	cfg     Config
	limits  Limits
	log     logrus.FieldLogger
	metrics entryMetrics
	mux     *http.ServeMux

	watch watchList

	inProgress atomic.Int64 // requests in progress, including queued ones
	inFlight   sync.WaitGroup

	mu       sync.Mutex // guards draining, and keeps inFlight.Add from racing with Drain
	draining bool
}

// New validates cfg and returns an Entry that is ready to serve.
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
	if e.cfg.Parts == nil {
		e.cfg.Parts = quarantine.NewPartTracker(quarantine.DefaultPartOptions)
	}
	e.metrics = newEntryMetrics(cfg.Metrics)
	e.mux = e.routes()
	return e, nil
}

// Status is a snapshot of an entry's state for operators.
type Status struct {
	Name     string `json:"name"`
	Running  int64  `json:"running"` // requests in progress, including queued ones
	Draining bool   `json:"draining"`
}

// Status returns a snapshot of the entry's state.
func (e *Entry) Status() Status {
	return Status{Name: e.cfg.Name, Running: e.inProgress.Load(), Draining: !e.Ready()}
}

// newRand returns a random source for server choice and jitter. It needs no
// cryptographic strength.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
