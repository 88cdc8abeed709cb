package wire

import (
	"slices"
	"time"

	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// MaxPartsPerMessage is the maximum number of parts in a message about a death or a success of parts,
// so that the message fits a datagram.
const MaxPartsPerMessage = 100

// PartDeathToProto converts a death whose parts have one scope and are MaxPartsPerMessage at most.
func PartDeathToProto(d quarantine.PartDeath, now time.Time) *wirepb.PartDeath {
	return &wirepb.PartDeath{
		Scope:  scopeToProto(d.Parts),
		Death:  d.ID,
		Server: d.Server,
		RanMs:  toMillis(d.Ended.Sub(d.Began)),
		AgeMs:  toMillis(now.Sub(d.Ended)),
		Silent: d.Silent,
		Parts:  partIDs(d.Parts),
	}
}

// PartDeathFromProto converts a message that passed Check.
func PartDeathFromProto(m *wirepb.PartDeath, now time.Time) quarantine.PartDeath {
	ended := now.Add(-fromMillis(m.GetAgeMs()))
	return quarantine.PartDeath{
		Death:  quarantine.Death{ID: m.GetDeath(), Began: ended.Add(-fromMillis(m.GetRanMs())), Ended: ended},
		Silent: m.GetSilent(),
		Server: m.GetServer(),
		Parts:  scopeFromProto(m.GetScope()).Parts(m.GetParts()),
	}
}

// PartDeathsToProto converts deaths of which each has parts of one scope.
func PartDeathsToProto(deaths []quarantine.PartDeath, now time.Time) []*wirepb.PartDeath {
	var out []*wirepb.PartDeath
	for _, d := range deaths {
		for parts := range slices.Chunk(d.Parts, MaxPartsPerMessage) {
			d.Parts = parts
			out = append(out, PartDeathToProto(d, now))
		}
	}
	return out
}

// MergePartDeaths adds deaths to a tracker.
func MergePartDeaths(tracker *quarantine.PartTracker, list []*wirepb.PartDeath, now time.Time) {
	for _, d := range list {
		tracker.Record(PartDeathFromProto(d, now), now)
	}
}

// PartsClearedToProto converts parts of one scope, MaxPartsPerMessage at most, with which a request
// began to respond at a time.
func PartsClearedToProto(parts []quarantine.Part, at, now time.Time) *wirepb.PartsCleared {
	return &wirepb.PartsCleared{Scope: scopeToProto(parts), AgeMs: toMillis(now.Sub(at)), Parts: partIDs(parts)}
}

// PartsClearedFromProto converts a message that passed Check.
func PartsClearedFromProto(m *wirepb.PartsCleared, now time.Time) (parts []quarantine.Part, at time.Time) {
	return scopeFromProto(m.GetScope()).Parts(m.GetParts()), now.Add(-fromMillis(m.GetAgeMs()))
}

func scopeToProto(parts []quarantine.Part) *wirepb.PartScope {
	if len(parts) == 0 {
		return &wirepb.PartScope{}
	}
	scope := parts[0].Scope
	return &wirepb.PartScope{Service: scope.Service, Model: scope.Model}
}

func scopeFromProto(m *wirepb.PartScope) quarantine.Scope {
	return quarantine.NewScope(m.GetService(), m.GetModel())
}

func partIDs(parts []quarantine.Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, part := range parts {
		out[i] = part.ID
	}
	return out
}

// toMillis converts a duration to whole milliseconds; negative ones become 0.
func toMillis(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

// fromMillis converts milliseconds; those above the bound of a message become the bound.
func fromMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, maxMillis)) * time.Millisecond
}
