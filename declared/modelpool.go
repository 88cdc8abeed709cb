package declared

// Defaults of a ModelPool.
const (
	// DefaultLongPrefillShare: see ModelPool.LongPrefillShare.
	DefaultLongPrefillShare = 0.5
	// DefaultMaxWeightLoads is how many loads from the weight store may run at
	// once for the pool.
	DefaultMaxWeightLoads = 2
)

// ModelPool declares the models that a pool of engines serves. Its name is a
// model name to callers too, and means the first model.
type ModelPool struct {
	Models []Model        `json:"models" validate:"required,min=1,dive" distinct:"Name"`
	Engine EngineCapacity `json:"engine" validate:"required"`
	Zones  []string       `json:"zones" validate:"required,min=1,dive,name" distinct:"."`
	// RoutingPolicy names a policy of package routing; empty means the one in
	// the entry's settings.
	RoutingPolicy string `json:"routing_policy,omitempty" validate:"omitempty,oneof=cost round-robin least-load"`
	// LongPrefillShare, from 0 to 1, is how far long prompts may go beside
	// shorter ones. An agent lets 800,000 tokens times it of them be in prefill
	// together, but always one; and entries keep half of what is left of it, a
	// quarter of the servers by default, for shorter prompts as far as possible.
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

// Adapter is a fine-tuned variant that an engine loads beside its model.
type Adapter struct {
	Name    string `json:"name" validate:"required,name"`
	Version string `json:"version" validate:"required,max=128"`
	Source  string `json:"source" validate:"required,max=1024"`
}

// Replicas is how many engines shall serve a model in each role.
type Replicas struct {
	Mixed   int `json:"mixed" validate:"min=0,max=100000"`
	Prefill int `json:"prefill" validate:"min=0,max=100000"`
	Decode  int `json:"decode" validate:"min=0,max=100000"`
}

// Total returns the replicas of all roles.
func (r Replicas) Total() int { return r.Mixed + r.Prefill + r.Decode }

// EngineCapacity is what one engine of the pool is expected to do. It is the
// prior of estimates until engines report.
type EngineCapacity struct {
	PrefillRate  int64 `json:"prefill_rate" validate:"min=1"`  // tokens/s
	DecodeRate   int64 `json:"decode_rate" validate:"min=1"`   // tokens/s, whole batch
	MemoryTokens int64 `json:"memory_tokens" validate:"min=1"` // KV capacity
}

func (*ModelPool) pool(name string) string { return name }
