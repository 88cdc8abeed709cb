package membership

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/briarturn/briarturn/wire/wirepb"
)

const (
	// maxEntriesAllHomes is the number of entries up to which every entry is a
	// home and receives the reports of every agent.
	maxEntriesAllHomes = 3
	// homesPerAgent is the number of homes of an agent where there are more
	// entries. With two, one can fail while the other still receives reports.
	homesPerAgent = 2
)

// HomeCount returns the number of homes that an agent has among n entries.
func HomeCount(n int) int {
	if n <= maxEntriesAllHomes {
		return n
	}
	return homesPerAgent
}

// Rank returns the n preferred homes of an agent among the entries, best first.
// Removing an entry doesn't change the order of the others.
//
// A new rendezvous hash is built for each place. The library's Remove works only
// once, since it doesn't update the index of the node that it moves.
func Rank(agent string, entries []string, n int) []string {
	remaining := slices.Clone(entries)
	ranked := make([]string, 0, n)
	for len(remaining) > 0 && len(ranked) < n {
		best := rendezvous.New(slices.Clone(remaining), xxhash.Sum64String).Lookup(agent)
		ranked = append(ranked, best)
		i := slices.Index(remaining, best)
		remaining = slices.Delete(remaining, i, i+1)
	}
	return ranked
}

// PeersVersion returns a hash that identifies a set of entries. Equal sets have
// the same version. It is never zero.
func PeersVersion(peers []*wirepb.Peer) uint64 {
	lines := make([]string, 0, len(peers))
	for _, p := range peers {
		lines = append(lines, fmt.Sprintf("%s|%s|%s|%t\n",
			p.GetName(), p.GetDatagramAddress(), p.GetRpcAddress(), p.GetDraining()))
	}
	slices.Sort(lines)
	h := xxhash.New()
	for _, line := range lines {
		_, _ = h.WriteString(line)
	}
	return h.Sum64() | 1
}
