package routing

import (
	"math"
	"sync"
)

// Defaults of PrefixLimits: 54 bytes a hint as measured (docs/CAPACITY.md), so
// 3.5 MB an entry at most.
const (
	DefaultHintsPerServer = 1_024
	DefaultHints          = 65_536
)

const (
	holdersPerBlock = 4 // servers remembered for one block
	maxHolders      = 8 // servers returned for one prompt
)

// PrefixLimits bounds a PrefixIndex. Zero fields take the defaults.
type PrefixLimits struct {
	PerServer int // hints of one server
	Total     int // hints of all servers
}

// Holder is a server that is thought to hold the first Blocks of a prompt.
type Holder struct {
	Key    uint64
	Blocks int
}

// CacheEvent is one cache event of an engine. Events come late and with gaps.
type CacheEvent struct {
	Sequence uint64
	Evict    bool // else the block was stored
	Hash     uint64
}

// PrefixIndex holds approximate hints on which servers have which blocks in
// their prefix caches. A hint may be wrong either way; it only moves a choice
// and nothing may rely on it. The index is safe for concurrent use; its mutex
// guards all of it and is taken last.
type PrefixIndex struct {
	limits PrefixLimits

	mu      sync.Mutex
	blocks  map[uint64]blockHolders
	servers map[uint64]*serverHints
	slots   []uint64 // keys of servers; the first is not used
	free    []slot   // of slots
	total   int
}

// slot stands for a server in a block's holders: its key would make the index
// three times as large.
type slot uint16

type blockHolders [holdersPerBlock]slot // zero is empty

// serverHints are one server's hints, oldest first.
type serverHints struct {
	slot     slot // zero before its first hint
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

// RecordSent remembers that a server was sent a prompt and will soon have it cached.
func (x *PrefixIndex) RecordSent(server uint64, prefix []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(prefix) > x.limits.PerServer {
		prefix = prefix[:x.limits.PerServer]
	}
	for _, hash := range prefix {
		x.add(server, hash)
	}
}

// Reconcile corrects the hints by what the engine found in its cache: of the
// blocks of a prompt, cached were there.
func (x *PrefixIndex) Reconcile(server uint64, prefix []uint64, cached int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, hash := range prefix[min(max(0, cached), len(prefix)):] {
		x.drop(server, hash)
	}
}

// ApplyEvents takes in cache events of a server. Late events are dropped. After a gap
// all hints of the server go: an eviction may have been among the lost events,
// and hints for blocks that are gone draw requests to the wrong server.
func (x *PrefixIndex) ApplyEvents(server uint64, events []CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, ev := range events {
		s := x.server(server)
		if ev.Sequence <= s.sequence {
			continue
		}
		if s.sequence != 0 && ev.Sequence != s.sequence+1 {
			x.forget(server)
			s = x.server(server)
		}
		s.sequence = ev.Sequence
		if ev.Evict {
			x.drop(server, ev.Hash)
		} else {
			x.add(server, ev.Hash)
		}
	}
}

// RemoveServer drops all hints of a server, as after its restart.
func (x *PrefixIndex) RemoveServer(server uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(server)
}

// Len returns the number of hints.
func (x *PrefixIndex) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.total
}

// Holders appends at most cap(out)-len(out) servers that are thought to hold a
// beginning of the prompt, the longest first. It looks at few of the blocks: it
// searches for the last known one and then at halves of its position.
func (x *PrefixIndex) Holders(prefix []uint64, out []Holder) []Holder {
	if len(prefix) == 0 {
		return out
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for depth := x.lastKnown(prefix); depth > 0; depth /= 2 {
		for _, holder := range x.blocks[prefix[depth-1]] {
			if len(out) == cap(out) {
				return out
			}
			if key := x.slots[holder]; holder != 0 && !hasHolder(out, key) {
				out = append(out, Holder{key, depth})
			}
		}
	}
	return out
}

// lastKnown returns how many of the first blocks are known, by bisection. It
// supposes that a block is known only if those before it are.
func (x *PrefixIndex) lastKnown(prefix []uint64) int {
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

func hasHolder(holders []Holder, key uint64) bool {
	for _, h := range holders {
		if h.Key == key {
			return true
		}
	}
	return false
}

func (x *PrefixIndex) server(key uint64) *serverHints {
	s := x.servers[key]
	if s == nil {
		s = &serverHints{}
		x.servers[key] = s
	}
	return s
}

// add remembers one hint, at the cost of the oldest where a bound is met. The
// caller holds mu.
func (x *PrefixIndex) add(server, hash uint64) {
	s := x.server(server)
	holders := x.blocks[hash]
	free := -1
	for i, holder := range holders {
		if holder == 0 {
			free = i
		} else if holder == s.slot {
			return
		}
	}
	if free < 0 || !x.takeSlot(server, s) {
		return // enough servers hold it, or there are too many servers
	}
	if len(s.order) >= x.limits.PerServer {
		x.drop(server, s.order[0])
	} else if x.total >= x.limits.Total {
		x.dropAny()
	}
	holders = x.blocks[hash]
	holders[free] = s.slot
	x.blocks[hash] = holders
	s.order = append(s.order, hash)
	x.total++
}

// takeSlot gives a server a slot if it has none. It returns false when all are
// taken.
func (x *PrefixIndex) takeSlot(server uint64, s *serverHints) bool {
	switch n := len(x.free); {
	case s.slot != 0:
		return true
	case n > 0:
		s.slot = x.free[n-1]
		x.free = x.free[:n-1]
		x.slots[s.slot] = server
	case len(x.slots) <= math.MaxUint16:
		s.slot = slot(len(x.slots))
		x.slots = append(x.slots, server)
	}
	return s.slot != 0
}

// dropAny drops the oldest hint of some server.
func (x *PrefixIndex) dropAny() {
	for key, s := range x.servers {
		if len(s.order) > 0 {
			x.drop(key, s.order[0])
			return
		}
	}
}

// drop forgets one hint. The caller holds mu.
func (x *PrefixIndex) drop(server, hash uint64) {
	s := x.servers[server]
	if s == nil || !x.unhold(s.slot, hash) {
		return
	}
	for i, h := range s.order {
		if h == hash {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
	x.total--
}

// unhold takes a server from the holders of a block.
func (x *PrefixIndex) unhold(server slot, hash uint64) bool {
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

func (x *PrefixIndex) forget(server uint64) {
	s := x.servers[server]
	if s == nil {
		return
	}
	for _, hash := range s.order {
		x.unhold(s.slot, hash)
	}
	if s.slot != 0 {
		x.free = append(x.free, s.slot)
	}
	x.total -= len(s.order)
	delete(x.servers, server)
}
