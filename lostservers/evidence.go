package lostservers

import (
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/servernotice"
)

// Kind is how a server was seen not to serve.
type Kind uint8

// Kinds of evidence.
const (
	Refused Kind = iota + 1 // its address refuses connections
	Reset                   // a connection ended before the response, and the next attempt to connect got no reply
	Silent                  // no reply to an attempt to connect
)

var kindNames = [...]string{Refused: "refused", Reset: "reset", Silent: "silent"}

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Refused, Reset, Silent} }

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// conclusive reports whether evidence of a kind can't come from a cut link.
func (k Kind) conclusive() bool { return k == Refused }

// Evidence is one observation that a server doesn't serve.
type Evidence struct {
	Server servernotice.Server
	Kind   Kind
	SeenAt boottime.Instant // on the clock of this VM
}

// appliesTo reports whether evidence is about a start of its server. It is about that start and
// earlier ones; an unknown start may be any.
func (e Evidence) appliesTo(startedUnixMs int64) bool {
	return e.Server.StartedUnixMs == 0 || startedUnixMs <= e.Server.StartedUnixMs
}

// Source is the entry that has seen something.
type Source struct {
	Entry uint64 // incarnation
	// Link names what the links of the entry have in common with those of others: its zone, or
	// its region if that is another one than this entry's. It is empty in this entry's own zone.
	Link string
}

const (
	// holdTime is how long a refusal excludes a server at least. A server that crashed is back within
	// seconds; until it is tried again its capacity is missing, and a trial costs a request a
	// millisecond.
	holdTime = 500 * time.Millisecond
	// silentHoldTime is the same for other evidence. A trial costs a request the time limit of
	// a connection attempt, which is longer than many first-token objectives.
	silentHoldTime = 1500 * time.Millisecond
	// maxHoldFactor is how many times as long the hold is at most, so that entries try a server one
	// after the other.
	maxHoldFactor = 2
	// trialTime is how long an entry that tries a server sends no other request there, unless it
	// learns how the trial ended. An attempt to connect ends before.
	trialTime = 500 * time.Millisecond
	// retention is how long evidence is kept. After it a server that is still down is
	// no longer registered.
	retention = 5 * time.Second
	// transitTime is how long something from a server may be on its way, so that it
	// shows no life after evidence.
	transitTime = 100 * time.Millisecond
	// reportInterval is the minimum time between two reports on one server.
	reportInterval = 250 * time.Millisecond
	// sufficientReports is the number of other entries after whose reports on a server this one needs
	// none: they suffice also where most servers are lost.
	sufficientReports = 2
	// maxGap is the longest time between two calls of a Table, which Sweep bounds to a second, unless
	// the process was stopped.
	maxGap = 2500 * time.Millisecond
	// settleTime is how long after such a stop the messages of other entries may be older than
	// they say.
	settleTime = 500 * time.Millisecond
	// maxServers bounds the servers with evidence, and those with signs of life.
	maxServers = 4096
	// maxSources bounds the sources of evidence on one server.
	maxSources = 8
)
