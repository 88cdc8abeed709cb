package declared

// Defaults of a ModelPool.
const (
	// DefaultLongPrefillShare is the default of ModelPool.LongPrefillShare.
	DefaultLongPrefillShare = 0.5
	// DefaultMaxWeightLoads is the default maximum number of concurrent loads
	// from the weight store for a pool.
	DefaultMaxWeightLoads = 2
)

// ModelPool declares the models that a pool of engines serves. Callers can
// also use the name of the pool as a model name; it selects the first model.
type ModelPool struct {
	Models []Model        `json:"models" validate:"required,min=1,dive" distinct:"Name"`
	Engine EngineCapacity `json:"engine" validate:"required"`
	Zones  []string       `json:"zones" validate:"required,min=1,dive,name" distinct:"."`
	// RoutingPolicy is the name of a policy of package routing; if empty, the
	// policy in the settings of the entry applies.
	RoutingPolicy string `json:"routing_policy,omitempty" validate:"omitempty,oneof=cost round-robin least-load"`
	// LongPrefillShare, from 0 to 1, limits long prompts in favor of shorter
	// ones. An agent admits long prompts with at most 800,000 tokens times
	// this share into prefill at once, but always at least one prompt. Entries
	// reserve half of the remaining share, a quarter of the servers by
	// default, for shorter prompts as far as possible.
	LongPrefillShare float64 `json:"long_prefill_share" validate:"gte=0,lte=1"`
	MaxWeightLoads   int     `json:"weight_loads" validate:"min=1,max=1000"`
}

// Model is one model of a pool.
type Model struct {
	Name     string    `json:"name" validate:"required,name"`
	Version  string    `json:"version" validate:"required,max=128"`
	Source   string    `json:"source" validate:"required,max=1024"` // in the weight store
	Replicas Replicas  `json:"replicas"`
	Adapters []Adapter `json:"adapters,omitempty" validate:"dive" distinct:"Name"`
}

// Adapter is a fine-tuned variant that an engine loads in addition to its
// model.
type Adapter struct {
	Name    string `json:"name" validate:"required,name"`
	Version string `json:"version" validate:"required,max=128"`
	Source  string `json:"source" validate:"required,max=1024"`
}

// Replicas is the number of engines that serve a model in each role.
type Replicas struct {
	Mixed   int `json:"mixed" validate:"min=0,max=100000"`
	Prefill int `json:"prefill" validate:"min=0,max=100000"`
	Decode  int `json:"decode" validate:"min=0,max=100000"`
}

// Total returns the number of replicas of all roles.
func (r Replicas) Total() int { return r.Mixed + r.Prefill + r.Decode }

// EngineCapacity is the expected capacity of one engine of the pool. Estimates
// start from it until engines report.
type EngineCapacity struct {
	PrefillRate  int64 `json:"prefill_rate" validate:"min=1"`  // tokens/s
	DecodeRate   int64 `json:"decode_rate" validate:"min=1"`   // tokens/s, whole batch
	MemoryTokens int64 `json:"memory_tokens" validate:"min=1"` // KV capacity
}

func (*ModelPool) poolName(name string) string { return name }
