package routing

import (
	"math"
	"sync"
)

// Defaults of PrefixLimits. A hint takes 54 bytes (docs/CAPACITY.md), so the index of an
// entry takes at most 3.5 MB.
const (
	DefaultHintsPerServer = 1_024
	DefaultHints          = 65_536
)

const (
	holdersPerBlock = 4 // servers recorded per block
	maxHolders      = 8 // servers returned per prompt
)

// PrefixLimits bounds a PrefixIndex. Zero fields mean the defaults.
type PrefixLimits struct {
	PerServer int // hints per server
	Total     int // hints of all servers together
}

// Holder is a server that is expected to have the first Blocks blocks of a prompt cached.
type Holder struct {
	Key    uint64
	Blocks int
}

// CacheEvent is one cache event of an engine. Events may arrive late and with gaps.
type CacheEvent struct {
	Sequence uint64
	Evict    bool // false: the block was stored
	Hash     uint64
}

// PrefixIndex holds hints on which servers have which blocks in their prefix caches. A
// hint may be missing or outdated: it may influence a choice, but nothing may depend on
// it. The index is safe for concurrent use. Its mutex guards all fields below it and is a
// leaf lock.
type PrefixIndex struct {
	limits PrefixLimits

	mu        sync.Mutex
	blocks    map[uint64]blockHolders
	servers   map[uint64]*serverHints
	slots     []uint64 // server keys by slot; slot 0 is not used
	freeSlots []slot   // slots available for reuse
	hintCount int
}

// slot identifies a server among a block's holders. Storing the server's key instead would
// triple the size of the index.
type slot uint16

type blockHolders [holdersPerBlock]slot // zero: no holder

// serverHints holds the hints of one server, oldest first.
type serverHints struct {
	slot     slot // zero before the first hint
	order    []uint64
	sequence uint64 // of the last event
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(limits PrefixLimits) *PrefixIndex {
	if limits.PerServer <= 0 {
		limits.PerServer = DefaultHintsPerServer
	}
	if limits.Total <= 0 {
		limits.Total = DefaultHints
	}
	return &PrefixIndex{
		limits:  limits,
		blocks:  map[uint64]blockHolders{},
		servers: map[uint64]*serverHints{},
		slots:   make([]uint64, 1),
	}
}

// RecordSent records that a server was sent a prompt and will soon have it cached.
func (x *PrefixIndex) RecordSent(server uint64, prefix []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(prefix) > x.limits.PerServer {
		prefix = prefix[:x.limits.PerServer]
	}
	for _, hash := range prefix {
		x.addHint(server, hash)
	}
}

// Reconcile removes the hints that the engine's cache contradicts: only the first cached
// blocks of the prompt were there.
func (x *PrefixIndex) Reconcile(server uint64, prefix []uint64, cached int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, hash := range prefix[min(max(0, cached), len(prefix)):] {
		x.removeHint(server, hash)
	}
}

// ApplyEvents applies cache events of a server. Events with an old sequence number are
// ignored. After a gap all hints of the server are dropped, because an eviction may have
// been lost, and hints for evicted blocks attract requests to the wrong server.
func (x *PrefixIndex) ApplyEvents(server uint64, events []CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, ev := range events {
		s := x.hintsOf(server)
		if ev.Sequence <= s.sequence {
			continue
		}
		if s.sequence != 0 && ev.Sequence != s.sequence+1 {
			x.removeServerLocked(server)
			s = x.hintsOf(server)
		}
		s.sequence = ev.Sequence
		if ev.Evict {
			x.removeHint(server, ev.Hash)
		} else {
			x.addHint(server, ev.Hash)
		}
	}
}

// RemoveServer drops all hints of a server, for example after it restarted.
func (x *PrefixIndex) RemoveServer(server uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.removeServerLocked(server)
}

// Len returns the number of hints.
func (x *PrefixIndex) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.hintCount
}

// Holders appends servers that are expected to have a beginning of the prompt cached,
// longest match first, up to the capacity of out. To inspect few blocks, it searches for
// the last known block and then halves the position.
func (x *PrefixIndex) Holders(prefix []uint64, out []Holder) []Holder {
	if len(prefix) == 0 {
		return out
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for depth := x.knownDepth(prefix); depth > 0; depth /= 2 {
		for _, holder := range x.blocks[prefix[depth-1]] {
			if len(out) == cap(out) {
				return out
			}
			if key := x.slots[holder]; holder != 0 && !containsHolder(out, key) {
				out = append(out, Holder{key, depth})
			}
		}
	}
	return out
}

// knownDepth returns how many of the first blocks are known. It bisects, which assumes
// that a block is known only if all blocks before it are.
func (x *PrefixIndex) knownDepth(prefix []uint64) int {
	low, high := 0, len(prefix)
	for low < high {
		mid := (low + high + 1) / 2
		if _, ok := x.blocks[prefix[mid-1]]; ok {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

func containsHolder(holders []Holder, key uint64) bool {
	for _, h := range holders {
		if h.Key == key {
			return true
		}
	}
	return false
}

func (x *PrefixIndex) hintsOf(key uint64) *serverHints {
	s := x.servers[key]
	if s == nil {
		s = &serverHints{}
		x.servers[key] = s
	}
	return s
}

// addHint records one hint and drops an old one if a limit is reached. The caller holds
// mu.
func (x *PrefixIndex) addHint(server, hash uint64) {
	s := x.hintsOf(server)
	holders := x.blocks[hash]
	free := -1
	for i, holder := range holders {
		if holder == 0 {
			free = i
		} else if holder == s.slot {
			return
		}
	}
	if free < 0 || !x.assignSlot(server, s) {
		return // enough holders for the block, or no slot left
	}
	if len(s.order) >= x.limits.PerServer {
		x.removeHint(server, s.order[0])
	} else if x.hintCount >= x.limits.Total {
		x.evictAny()
	}
	holders = x.blocks[hash]
	holders[free] = s.slot
	x.blocks[hash] = holders
	s.order = append(s.order, hash)
	x.hintCount++
}

// assignSlot assigns a slot to a server that has none. It returns false if all slots are in
// use.
func (x *PrefixIndex) assignSlot(server uint64, s *serverHints) bool {
	switch n := len(x.freeSlots); {
	case s.slot != 0:
		return true
	case n > 0:
		s.slot = x.freeSlots[n-1]
		x.freeSlots = x.freeSlots[:n-1]
		x.slots[s.slot] = server
	case len(x.slots) <= math.MaxUint16:
		s.slot = slot(len(x.slots))
		x.slots = append(x.slots, server)
	}
	return s.slot != 0
}

// evictAny drops the oldest hint of an arbitrary server.
func (x *PrefixIndex) evictAny() {
	for key, s := range x.servers {
		if len(s.order) > 0 {
			x.removeHint(key, s.order[0])
			return
		}
	}
}

// removeHint drops one hint. The caller holds mu.
func (x *PrefixIndex) removeHint(server, hash uint64) {
	s := x.servers[server]
	if s == nil || !x.removeHolder(s.slot, hash) {
		return
	}
	for i, h := range s.order {
		if h == hash {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
	x.hintCount--
}

// removeHolder removes a server from the holders of a block.
func (x *PrefixIndex) removeHolder(server slot, hash uint64) bool {
	if server == 0 {
		return false
	}
	holders := x.blocks[hash]
	for i, holder := range holders {
		if holder != server {
			continue
		}
		holders[i] = 0
		x.blocks[hash] = holders
		if holders == (blockHolders{}) {
			delete(x.blocks, hash)
		}
		return true
	}
	return false
}

func (x *PrefixIndex) removeServerLocked(server uint64) {
	s := x.servers[server]
	if s == nil {
		return
	}
	for _, hash := range s.order {
		x.removeHolder(s.slot, hash)
	}
	if s.slot != 0 {
		x.freeSlots = append(x.freeSlots, s.slot)
	}
	x.hintCount -= len(s.order)
	delete(x.servers, server)
}
