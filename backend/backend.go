// Package backend models backend servers: Table holds the view that an entry
// has of them, and Ledger accounts for the KV memory of one server in its
// agent.
package backend

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Descriptor describes a backend server, as its agent reports it. It changes
// rarely.
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
	// Weights lists everything that the engine has loaded. Models and Adapters
	// list the part of it that accepts new requests; the rest is to be unloaded or
	// replaced.
	Weights []Weights `json:"weights"`
	// Loading is the model or adapter that an order is currently loading.
	Loading string `json:"loading,omitempty"`
}

// Weights describes a model or an adapter in the memory of an engine.
type Weights struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"` // VersionKey of the version, 0 if unknown
	Adapter bool   `json:"adapter"`
}

// VersionKey returns a 64-bit hash of a version of weights, short enough for
// descriptors to fit into datagrams. It is 0 only for an unknown version.
func VersionKey(version string) uint64 {
	if version == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(version))
}

// Role is the phase of a request that an engine serves.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Load is one sample of the load of a backend server. All amounts of work and
// memory are in tokens.
type Load struct {
	Running      int32
	Waiting      int32
	PrefillShort int64 // left to prefill, prompts shorter than request.LargeTokens
	PrefillLong  int64 // left to prefill, longer prompts
	Used         int64 // KV memory in use by runs
	Held         int64 // KV memory reserved but not yet in use
	Capacity     int64
	Draining     bool
	Incarnation  uint64 // incarnation of the agent
	Sequence     uint64 // orders the samples of one incarnation
}

// State is the state of a backend server as an entry assumes it.
type State uint8

// States of a row.
const (
	StateLive    State = iota
	StateSuspect       // no report for longer than expected; used only if no other server is left
	StateLeaving       // reported by the server itself or by the VM list
	StateDead
)

var stateNames = [...]string{"live", "suspect", "leaving", "dead"}

// String returns the name of the state, as the status output shows it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Row is the record that an entry keeps of one backend server.
type Row struct {
	Descriptor
	Key         uint64 // xxhash64 of the name
	Incarnation uint64
	Load        Load
	LoadAt      time.Time // when the sample was taken, by the clock of the entry
	LastSeen    time.Time // time of the last sample, direct or through a digest
	State       State
	// UnreportedRequests, UnreportedPrefill (tokens to prefill) and
	// UnreportedTokens (KV memory) count what this entry has dispatched since the
	// sample was taken. They keep an entry from sending a burst of requests to the
	// server that looked best in the last report.
	UnreportedRequests int32
	UnreportedPrefill  int64
	UnreportedTokens   int64
	// UnreportedLongPrefill is the part of UnreportedPrefill that belongs to long
	// prompts.
	UnreportedLongPrefill int64
	// Direct is true if the server reports to this entry, which is then one of its
	// homes: missing reports indicate a failure. Other rows are updated only
	// occasionally, through digests.
	Direct bool
	// DescribedIncarnation is the incarnation that sent the Descriptor.
	DescribedIncarnation uint64
}

// CapacityTokens returns the KV capacity from the load sample or, if the sample
// has none, from the descriptor.
func (r *Row) CapacityTokens() int64 {
	if r.Load.Capacity > 0 {
		return r.Load.Capacity
	}
	return r.MemoryTokens
}

// FreeTokens returns the KV memory that is free according to the last sample,
// less what this entry has dispatched since. It is never negative.
func (r *Row) FreeTokens() int64 {
	return max(0, r.CapacityTokens()-r.Load.Used-r.Load.Held-r.UnreportedTokens)
}
