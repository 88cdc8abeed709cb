package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of fault.
type Fault string

// Faults. Those of entries and servers have one of them as a target, links the one that
// leads from or to it.
const (
	EntryKill    Fault = "entry_kill"    // SIGKILL, and started again
	EntryTerm    Fault = "entry_term"    // SIGTERM, and started again when it has ended
	EntryPause   Fault = "entry_pause"   // SIGSTOP, SIGCONT
	EntryHup     Fault = "entry_hup"     // SIGHUP
	EntriesKill  Fault = "entries_kill"  // SIGKILL of all, and started again
	ServerKill   Fault = "server_kill"   // SIGKILL, and started again under its name
	ServerPause  Fault = "server_pause"  // SIGSTOP, SIGCONT
	StoreCut     Fault = "store_cut"     // an entry's link to the store is silent
	StoreReset   Fault = "store_reset"   // it is reset
	StoreRefused Fault = "store_refused" // the store turns the entry away
	ServerCut    Fault = "server_cut"    // the link to a server is silent
	ServerReset  Fault = "server_reset"  // it is reset
	ServerDelay  Fault = "server_delay"  // what goes over it is late
	StoreDown    Fault = "store_down"    // for all
	StoreSlow    Fault = "store_slow"
	StoreForgets Fault = "store_forgets" // its history
	StoreLoses   Fault = "store_loses"   // answers of writes
	Configure    Fault = "configure"     // a new version
	Revoke       Fault = "revoke"        // a key is taken away
	Evacuate     Fault = "evacuate"      // the zone of a server is evacuated, and restored
	ServerCold   Fault = "server_cold"   // a server says that it has become cold
	ServerNeed   Fault = "server_need"   // a server names a request rate
	// A server announces that it shuts down, and is ended and started; and one refuses requests
	// and names a time for which it wants no others.
	ServerLeave   Fault = "server_leave"
	ServerBackOff Fault = "server_back_off"
	PartCrash     Fault = "part_crash"     // requests with a part that crashes servers; its target is the part
	OneEntry      Fault = "one_entry"      // most new connections go to one entry
	ServerEndless Fault = "server_endless" // a server answers with bytes without end
	// The store is away for a moment and comes back from a copy as old as the step lasts.
	StoreRestore Fault = "store_restore"
)

// kinds that a plan draws from. Revoke comes once by itself.
var kinds = []Fault{
	EntryKill, EntryTerm, EntryPause, EntryHup, EntriesKill, ServerKill, ServerPause, StoreCut, StoreReset, StoreRefused,
	ServerCut, ServerReset, ServerDelay, StoreDown, StoreSlow, StoreForgets, StoreLoses, Configure,
}

// Step is one fault of a plan.
type Step struct {
	At     time.Duration // since the callers began
	For    time.Duration // how long it lasts, where it does
	Fault  Fault
	Target int // an entry or a server
}

const (
	// faultEvery is the mean time between two faults, faultLeast and faultMost how long one
	// lasts: the second often comes while the first lasts, or right behind it.
	faultEvery            = 700 * time.Millisecond
	faultLeast, faultMost = 300 * time.Millisecond, 2500 * time.Millisecond
	// calmStart is how long the callers are served before the first fault.
	calmStart = time.Second
)

// Plan draws the faults of a run. The same seed and sizes give the same plan.
func Plan(seed uint64, lasts time.Duration, entries, servers int) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	var out []Step
	for at := calmStart; at < lasts; at += time.Duration(r.ExpFloat64() * float64(faultEvery)) {
		s := Step{At: at, Fault: kinds[r.IntN(len(kinds))]}
		s.For = faultLeast + time.Duration(r.Int64N(int64(faultMost-faultLeast)))
		s.Target = r.IntN(entries)
		if slices.Contains([]Fault{ServerKill, ServerPause, ServerCut, ServerReset, ServerDelay}, s.Fault) {
			s.Target = r.IntN(servers)
		}
		out = append(out, s)
	}
	out = append(out, Step{At: calmStart + time.Duration(r.Int64N(int64(max(1, lasts/2)))), Fault: Revoke})
	out = append(out, declaredSteps(seed, lasts, servers)...)
	out = append(out, needSteps(seed, lasts, servers)...)
	out = append(out, noticeSteps(seed, lasts, servers)...)
	out = append(out, crashSteps(seed, lasts)...)
	out = append(out, onlySteps(seed, lasts, entries)...)
	out = append(out, restoreSteps(seed, lasts)...)
	out = append(out, endlessSteps(seed, lasts, servers)...)
	out = append(out, stormSteps(seed, lasts, entries, servers)...)
	slices.SortStableFunc(out, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return out
}

const (
	// evacuationLasts is how long a zone stays evacuated: long enough to see whether anything
	// reaches it after the time in which it has to be left alone.
	evacuationLasts = 10 * time.Second
	// coldEvery is the time between two servers that become cold, and how long they are.
	coldEvery = 5 * time.Second
)

// declaredSteps are the steps that operators and servers declare themselves: one zone that is
// evacuated and servers that become cold. They are drawn apart, so that a seed's other steps are
// the same with and without them.
func declaredSteps(seed uint64, lasts time.Duration, servers int) []Step {
	r := rand.New(rand.NewPCG(seed, 2))
	var out []Step
	for at := calmStart; at < lasts; at += coldEvery {
		out = append(out, Step{At: at, For: coldEvery, Fault: ServerCold, Target: r.IntN(servers)})
	}
	at := calmStart + time.Duration(r.Int64N(int64(max(1, lasts/3))))
	return append(out, Step{At: at, For: min(evacuationLasts, lasts), Fault: Evacuate, Target: r.IntN(servers)})
}
