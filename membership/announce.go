package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// An entry announces a configuration version to the agents whose pool it
// concerns. Without announcements an agent would learn of it from the answer to
// its next report, up to a report period later, about 7 s in a large region.
const (
	// announceSpread is the time over which announcements to the agents of a
	// pool are spread, so that they don't all pull at once.
	announceSpread = time.Second
	// announceRetryInterval is the time after which an announcement to an agent
	// that hasn't confirmed the version is repeated. The datagram, or the pull
	// that it triggers, may have been lost.
	announceRetryInterval = 1500 * time.Millisecond
	// maxAnnounceTries is the number of announcements sent to an agent. After
	// them only the answers to its reports carry the version.
	maxAnnounceTries = 5
	// announceCost is the cost of an announcement and the pull that follows, in
	// bytes in and out with all headers. TestPullCost checks it against real
	// messages.
	announceCost = 1300
	// announceBurst is the number of announcements that may be sent at once in
	// excess of spareShare of the budget: two for each agent of an entry in a
	// large region. Beyond it only the answers to reports carry the version.
	announceBurst = 120
)

// configState is the declared configuration that an entry announces.
type configState struct {
	revision        uint64
	poolVersion     func(pool string) uint64
	changed         bool
	pending         []*announcement
	announceLimiter *rate.Limiter
}

// announcement is a version that an agent hasn't confirmed yet.
type announcement struct {
	agent     uint64 // key
	dueAt     time.Time
	triesLeft int
}

func newConfigState(budget float64) configState {
	return configState{announceLimiter: rate.NewLimiter(rate.Limit(budget*spareShare/announceCost), announceBurst)}
}

// versionFor returns the newest version that concerns an agent, or 0 if there is
// none.
func (c *configState) versionFor(a *agent) uint64 {
	if c.poolVersion == nil {
		return 0
	}
	return c.poolVersion(a.pool)
}

// SetConfig sets the newest version of a declared object in force at this entry,
// and the function that returns the version that an agent of a pool must have.
// Entries compare the former. Agents are notified only of versions that concern
// their pool.
func (o *Observer) SetConfig(revision uint64, poolVersion func(pool string) uint64) {
	if revision < o.config.revision {
		return
	}
	o.config.revision = revision
	o.config.poolVersion = poolVersion
	o.config.changed = true
}

// sendAnnouncements announces versions to the agents that don't have them.
// Further changes don't add announcements to an agent that already has one
// pending.
func (o *Observer) sendAnnouncements(now time.Time, out *Effects) {
	if o.config.changed {
		o.config.changed = false
		o.queueAnnouncements(now)
	}
	o.config.pending = slices.DeleteFunc(o.config.pending, func(p *announcement) bool {
		return o.announce(now, p, out)
	})
}

func (o *Observer) queueAnnouncements(now time.Time) {
	pending := map[uint64]*announcement{}
	for _, p := range o.config.pending {
		pending[p.agent] = p
	}
	for _, key := range slices.Sorted(maps.Keys(o.agents)) {
		switch a := o.agents[key]; {
		case !a.direct || o.config.versionFor(a) <= a.config:
		case pending[key] != nil:
			pending[key].triesLeft = maxAnnounceTries
		default:
			at := now.Add(o.announceDelay(key))
			o.config.pending = append(o.config.pending, &announcement{agent: key, dueAt: at, triesLeft: maxAnnounceTries})
		}
	}
}

// announceDelay returns a part of announceSpread. It differs between the agents
// of a pool, between the homes of an agent and from change to change.
func (o *Observer) announceDelay(agent uint64) time.Duration {
	buf := binary.BigEndian.AppendUint64(nil, agent)
	buf = binary.BigEndian.AppendUint64(buf, o.key)
	buf = binary.BigEndian.AppendUint64(buf, o.config.revision)
	return time.Duration(xxhash.Sum64(buf) % uint64(announceSpread))
}

// announce sends an announcement if it is due. It returns whether the
// announcement is finished.
func (o *Observer) announce(now time.Time, p *announcement, out *Effects) bool {
	a := o.agents[p.agent]
	if a == nil || !a.direct || o.config.versionFor(a) <= a.config {
		return true
	}
	if now.Before(p.dueAt) {
		return false
	}
	if p.triesLeft == 0 || !o.config.announceLimiter.AllowN(now, 1) {
		return true
	}
	p.triesLeft--
	p.dueAt = now.Add(announceRetryInterval)
	o.sendAck(a, a.addr, a.incarnation, out)
	return false
}
