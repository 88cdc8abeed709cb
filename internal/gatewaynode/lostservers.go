package gatewaynode

import (
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/servernotice"
)

// lostServers returns the evidence on the registered servers that count as lost, by instance.
func (n *Node) lostServers(now boottime.Instant) map[string]admin.LostServer {
	if !n.lost.HasEvidence() {
		return nil
	}
	out := map[string]admin.LostServer{}
	for _, s := range n.directory.All() {
		for _, lost := range n.lost.Lost([]servernotice.Server{servernotice.ServerOf(s.Instance, s.StartedUnixMs)}, now) {
			found := admin.LostServer{Evidence: lost.Kind.String(), AgeMS: lost.Age.Milliseconds()}
			for _, source := range lost.Sources {
				found.Entries = append(found.Entries, n.entryName(source))
			}
			out[s.Instance] = found
		}
	}
	return out
}

// entryName returns the name of this entry or of a peer, or its incarnation if the name is
// unknown.
func (n *Node) entryName(incarnation uint64) string {
	if incarnation == n.incarnation {
		return n.cfg.Name
	}
	if name, ok := n.exchange.PeerName(incarnation); ok {
		return name
	}
	return strconv.FormatUint(incarnation, 16)
}

// lostLog writes a line when a server begins to count as lost, and when it no longer does.
type lostLog struct{ logged map[string]admin.LostServer }

// write logs what has changed since the last call.
func (l *lostLog) write(log logrus.FieldLogger, lost map[string]admin.LostServer) {
	for instance, s := range lost {
		if _, known := l.logged[instance]; !known {
			log.WithFields(logrus.Fields{
				"instance": instance, "evidence": s.Evidence, "age_ms": s.AgeMS, "entries": strings.Join(s.Entries, " "),
			}).Info("server counts as lost")
		}
	}
	for instance := range l.logged {
		if _, still := lost[instance]; !still {
			log.WithField("instance", instance).Info("server no longer counts as lost")
		}
	}
	l.logged = lost
}
