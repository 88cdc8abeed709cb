// Package backend is the aggregate of backend servers: what an entry knows of
// them (Table) and what the agent beside one guards (Ledger).
package backend

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Descriptor is what a backend server's agent says of it. It changes rarely.
type Descriptor struct {
	Name            string   `json:"name"`
	RPCAddress      string   `json:"rpc_address"`      // the agent's drpc listener, ip:port
	DatagramAddress string   `json:"datagram_address"` // the agent's UDP socket, ip:port
	EngineAddress   string   `json:"engine_address"`   // for KV transfer between engines, ip:port
	Zone            string   `json:"zone"`
	Region          string   `json:"region"`
	Pool            string   `json:"pool"` // ModelPool, or the service's name
	Service         bool     `json:"service"`
	Models          []string `json:"models"`
	Adapters        []string `json:"adapters"`
	Role            Role     `json:"role"`
	PrefillRate     int64    `json:"prefill_rate"`  // tokens/s
	DecodeRate      int64    `json:"decode_rate"`   // tokens/s, whole batch
	MemoryTokens    int64    `json:"memory_tokens"` // KV capacity
	// Weights is all that the engine has loaded. Models and Adapters list what
	// of it takes new requests: the rest is to be unloaded or replaced.
	Weights []Weights `json:"weights"`
	// Loading names the model or adapter that an order is loading now.
	Loading string `json:"loading,omitempty"`
}

// Weights are a model or an adapter in an engine's memory.
type Weights struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"` // VersionKey of it, 0 if not known
	Adapter bool   `json:"adapter"`
}

// VersionKey returns the short form of a version of weights, by which
// descriptors fit into datagrams. It is 0 for an unknown version only.
func VersionKey(version string) uint64 {
	if version == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(version))
}

// Role is the part of a request that an engine is meant for.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Load is one sample of a backend server's load. Tokens throughout.
type Load struct {
	Running      int32
	Waiting      int32
	PrefillShort int64 // still to prefill, prompts under request.LargeTokens
	PrefillLong  int64 // the same for longer prompts
	Used         int64 // KV memory of what runs
	Held         int64 // KV memory reserved and not yet used
	Capacity     int64
	Draining     bool
	Incarnation  uint64 // of the agent
	Sequence     uint64 // orders the samples of one incarnation
}

// State is what an entry believes of a backend server.
type State uint8

// States of a row.
const (
	StateLive    State = iota
	StateSuspect       // silent for longer than expected; used only if nothing else is left
	StateLeaving       // said so itself, or the VM list says so
	StateDead
)

var stateNames = [...]string{"live", "suspect", "leaving", "dead"}

// String returns the state's name as status shows it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Row is an entry's knowledge of one backend server.
type Row struct {
	Descriptor
	Key         uint64 // xxhash64 of the name
	Incarnation uint64
	Load        Load
	LoadAt      time.Time // when the sample was taken, by the entry's clock
	LastSeen    time.Time // last sign of life, direct or through a digest
	State       State
	// Own counts what this entry dispatched since the sample: requests and
	// tokens still to prefill. It is what keeps an entry from sending a burst
	// to the server that looked best in the last report.
	UnreportedRequests int32
	UnreportedPrefill  int64
	UnreportedTokens   int64
	// UnreportedLongPrefill is the part of UnreportedPrefill that belongs to long prompts.
	UnreportedLongPrefill int64
	// Direct says that this entry is a home of the server: its silence means
	// something. Other rows are heard of only now and then, through digests.
	Direct bool
	// DescribedIncarnation is the incarnation that sent the Descriptor.
	DescribedIncarnation uint64
}

// CapacityTokens returns the KV capacity: as sampled, else as described.
func (r *Row) CapacityTokens() int64 {
	if r.Load.Capacity > 0 {
		return r.Load.Capacity
	}
	return r.MemoryTokens
}

// FreeTokens returns the KV memory that is free as far as known, counting what
// this entry sent since the sample. It is never negative.
func (r *Row) FreeTokens() int64 {
	return max(0, r.CapacityTokens()-r.Load.Used-r.Load.Held-r.UnreportedTokens)
}
