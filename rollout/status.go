package rollout

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/objectapi"
)

// KindStatus is the object kind of the status that the system reports for declared
// objects.
const KindStatus = "Status"

// StatusName returns the name of a pool's status object.
func StatusName(pool string) string { return declared.KindModelPool + "/" + pool }

// Types of a Condition.
const (
	// ConditionDeclared is true if a ModelPool of that name exists. It is false if a
	// BackendServerSet names a pool that does not exist, or does not exist yet.
	ConditionDeclared = "Declared"
	// ConditionPlaced is true if every replica has an engine.
	ConditionPlaced = "Placed"
	// ConditionConverged is true if every engine matches its target.
	ConditionConverged = "Converged"
	// ConditionAccepting is true if the agents carry out orders.
	ConditionAccepting = "Accepting"
)

// Condition is one aspect of a pool's state. Since is the time of the last change
// of Status by the clock of the process that wrote it.
type Condition struct {
	Type    string    `json:"type"`
	Status  bool      `json:"status"`
	Reason  string    `json:"reason"`
	Message string    `json:"message,omitempty"`
	Since   time.Time `json:"since"`
}

// Status is the value of a pool's status object.
type Status struct {
	ObservedVersion uint64        `json:"observed_version"` // version of the ModelPool
	Fence           uint64        `json:"fence"`            // fence of the lease under which it was written
	Conditions      []Condition   `json:"conditions"`
	Models          []ModelStatus `json:"models,omitempty"`
}

// conditions describes the result of a plan.
func conditions(pool *declared.ModelPool, engines int, r *PlanResult, failure string) []Condition {
	if pool == nil {
		return []Condition{{Type: ConditionDeclared, Reason: "NotDeclared", Message: "a BackendServerSet names this pool; no ModelPool does"}}
	}
	placed := Condition{Type: ConditionPlaced, Status: true, Reason: "AllPlaced"}
	switch {
	case engines == 0:
		placed = Condition{Type: ConditionPlaced, Reason: "NoBackendServers", Message: "no engine of this pool has reported"}
	case r.Unplaced > 0:
		placed = Condition{Type: ConditionPlaced, Reason: "TooFewBackendServers",
			Message: fmt.Sprintf("%d replicas have no engine; %d engines are there", r.Unplaced, engines)}
	}
	converged := Condition{Type: ConditionConverged, Status: true, Reason: "AllCurrent"}
	switch {
	case r.Outdated > 0:
		converged = Condition{Type: ConditionConverged, Reason: "Rolling",
			Message: fmt.Sprintf("%d of %d engines differ, %d load", r.Outdated, engines, r.Loading)}
	case !placed.Status:
		converged = Condition{Type: ConditionConverged, Reason: placed.Reason}
	}
	accepting := Condition{Type: ConditionAccepting, Status: true, Reason: "OrdersCarriedOut"}
	if failure != "" {
		accepting = Condition{Type: ConditionAccepting, Reason: "OrdersFail", Message: failure}
	}
	return []Condition{{Type: ConditionDeclared, Status: true, Reason: "InForce"}, placed, converged, accepting}
}

// incompleteConditions returns the conditions while not all engines are known.
func incompleteConditions() []Condition {
	return []Condition{
		{Type: ConditionDeclared, Status: true, Reason: "InForce"},
		{Type: ConditionConverged, Reason: "Looking", Message: "not all backend servers have been heard of"},
	}
}

// keepSince keeps the Since time of conditions whose Status did not change.
func keepSince(now time.Time, next, old []Condition) {
	for i := range next {
		next[i].Since = now
		j := slices.IndexFunc(old, func(c Condition) bool { return c.Type == next[i].Type })
		if j >= 0 && old[j].Status == next[i].Status {
			next[i].Since = old[j].Since
		}
	}
}

// sameStatus compares two statuses, regardless of the lease under which they were
// written.
func sameStatus(a, b *Status) bool {
	return a.ObservedVersion == b.ObservedVersion && slices.Equal(a.Conditions, b.Conditions) && slices.Equal(a.Models, b.Models)
}

// errSuperseded means that a later holder of the lease has written the status.
const errSuperseded = errors.ConstError("status written under a later lease")

// statusWriter writes the status object of a pool. It must be used by one goroutine
// only.
type statusWriter struct {
	store objectapi.Store
	name  string
	fence uint64

	synced      bool   // the fields below match the store
	version     uint64 // version of the object; 0 if it does not exist
	lastWritten Status
}

// write updates the object to next if it differs. After an error the object is
// read again before the next write, since its value shows whether a write whose
// response was lost took effect.
func (w *statusWriter) write(ctx context.Context, now time.Time, next Status) error {
	if !w.synced {
		if err := w.read(ctx); err != nil {
			return errors.Annotatef(err, "step read status, object %s", w.name)
		}
	}
	if w.lastWritten.Fence > w.fence {
		return errors.Annotatef(errSuperseded, "object %s: fence %d after %d", w.name, w.fence, w.lastWritten.Fence)
	}
	next.Fence = w.fence
	keepSince(now, next.Conditions, w.lastWritten.Conditions)
	if w.version > 0 && sameStatus(&w.lastWritten, &next) {
		return nil
	}
	return errors.Annotatef(w.put(ctx, next), "step write status, object %s", w.name)
}

func (w *statusWriter) read(ctx context.Context) error {
	o, err := w.store.Get(ctx, KindStatus, w.name)
	if errors.Is(err, objectapi.ErrNotFound) {
		w.synced, w.version, w.lastWritten = true, 0, Status{}
		return nil
	}
	if err != nil {
		return err
	}
	w.lastWritten = Status{}
	// A value that can't be decoded is replaced.
	_ = json.Unmarshal(o.Data, &w.lastWritten)
	w.synced, w.version = true, o.Version
	return nil
}

func (w *statusWriter) put(ctx context.Context, next Status) error {
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	var o objectapi.Object
	if w.version == 0 {
		o, err = w.store.Create(ctx, KindStatus, w.name, data)
	} else {
		o, err = w.store.Update(ctx, KindStatus, w.name, data, w.version)
	}
	if err != nil {
		w.synced = false
		return err
	}
	// Decoding gives the times as stored, without the monotonic clock reading.
	w.lastWritten = Status{}
	_ = json.Unmarshal(data, &w.lastWritten)
	w.version = o.Version
	return nil
}

// firstMessage returns the alphabetically first message with its server, so that the
// status does not change with the order of failures.
func firstMessage(messages map[string]string) string {
	first := ""
	for server, m := range messages {
		if text := server + ": " + m; first == "" || cmp.Less(text, first) {
			first = text
		}
	}
	return first
}
