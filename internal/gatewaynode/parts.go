package gatewaynode

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/quarantine"
)

var _ admin.PartReleaser = (*Node)(nil)

// ReleasePart implements admin.PartReleaser.
func (n *Node) ReleasePart(r admin.PartRelease) error {
	id, err := strconv.ParseUint(r.Part, 16, 64)
	if err != nil {
		return errors.BadRequestf("part %q", r.Part)
	}
	now := time.Now()
	cleared := n.parts.Clear(quarantine.NewScope(r.Service, r.Model).Parts([]uint64{id}), now)
	if len(cleared) == 0 {
		return errors.Annotatef(admin.ErrUnknownName, "part %s of service %q, model %q", r.Part, r.Service, r.Model)
	}
	n.exchange.DeathReporter().ReportPartsCleared(cleared, now)
	return nil
}

// suspectPart returns a suspicion for a node's status.
func suspectPart(s quarantine.Suspicion) admin.SuspectPart {
	scope := s.Parts[0].Scope
	out := admin.SuspectPart{
		Service: scope.Service, Model: scope.Model, Parts: partIDs(s), Refused: s.Refused,
		Since: s.Since.Format(time.RFC3339Nano), Last: s.Last.Format(time.RFC3339Nano),
	}
	if s.Refused {
		out.RetryAt = s.RetryAt.Format(time.RFC3339Nano)
	}
	for _, death := range s.Deaths {
		out.Deaths = append(out.Deaths, strconv.FormatUint(death, 16))
	}
	return out
}

func partIDs(s quarantine.Suspicion) []string {
	out := make([]string, len(s.Parts))
	for i, part := range s.Parts {
		out[i] = strconv.FormatUint(part.ID, 16)
	}
	return out
}

// suspectLog logs changes of the parts that are held or refused. One goroutine owns it.
type suspectLog struct {
	logged map[string]quarantine.Suspicion // by suspectKey
}

// write logs what has changed since the last call.
func (l *suspectLog) write(log logrus.FieldLogger, now []quarantine.Suspicion) {
	current := map[string]quarantine.Suspicion{}
	for _, s := range now {
		key := suspectKey(s)
		current[key] = s
		if before, ok := l.logged[key]; !ok || before.Refused != s.Refused {
			suspectFields(log, s).Warn("part of prompts suspected")
		}
	}
	for key, s := range l.logged {
		if _, still := current[key]; !still {
			suspectFields(log, s).Info("part of prompts no longer suspected")
		}
	}
	l.logged = current
}

func suspectFields(log logrus.FieldLogger, s quarantine.Suspicion) *logrus.Entry {
	scope := s.Parts[0].Scope
	return log.WithFields(logrus.Fields{
		"service": scope.Service, "model": scope.Model, "parts": partIDs(s), "refused": s.Refused, "deaths": len(s.Deaths),
	})
}

// suspectKey identifies the parts of a suspicion.
func suspectKey(s quarantine.Suspicion) string {
	scope := s.Parts[0].Scope
	return scope.Service + "\x00" + scope.Model + "\x00" + strings.Join(partIDs(s), ",")
}
