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

// KindStatus is the object kind of what the system says of declared objects.
const KindStatus = "Status"

// StatusName returns the name of a pool's status object.
func StatusName(pool string) string { return declared.KindModelPool + "/" + pool }

// Types of a Condition.
const (
	// ConditionDeclared: there is a ModelPool of that name. False where a
	// BackendServerSet names a pool that isn't there, or not yet.
	ConditionDeclared = "Declared"
	// ConditionPlaced: every replica has an engine.
	ConditionPlaced = "Placed"
	// ConditionConverged: every engine is as it shall be.
	ConditionConverged = "Converged"
	// ConditionAccepting: the agents carry out orders.
	ConditionAccepting = "Accepting"
)

// Condition is one statement on a pool. Since is when Status last changed, by
// the clock of the process that wrote it.
type Condition struct {
	Type    string    `json:"type"`
	Status  bool      `json:"status"`
	Reason  string    `json:"reason"`
	Message string    `json:"message,omitempty"`
	Since   time.Time `json:"since"`
}

// Status is the value of a pool's status object.
type Status struct {
	ObservedVersion uint64        `json:"observed_version"` // of the ModelPool
	Fence           uint64        `json:"fence"`            // of the lease of who wrote it
	Conditions      []Condition   `json:"conditions"`
	Models          []ModelStatus `json:"models,omitempty"`
}

// conditions says in words what a plan found.
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

// lookingConditions is what is said while not all engines are known.
func lookingConditions() []Condition {
	return []Condition{
		{Type: ConditionDeclared, Status: true, Reason: "InForce"},
		{Type: ConditionConverged, Reason: "Looking", Message: "not all backend servers have been heard of"},
	}
}

// since keeps the time of conditions whose status did not change.
func since(now time.Time, next, old []Condition) {
	for i := range next {
		next[i].Since = now
		j := slices.IndexFunc(old, func(c Condition) bool { return c.Type == next[i].Type })
		if j >= 0 && old[j].Status == next[i].Status {
			next[i].Since = old[j].Since
		}
	}
}

// same tells whether two statuses say the same. Who wrote them doesn't matter.
func same(a, b *Status) bool {
	return a.ObservedVersion == b.ObservedVersion && slices.Equal(a.Conditions, b.Conditions) && slices.Equal(a.Models, b.Models)
}

// errOvertaken: a later holder of the lease has written the status.
const errOvertaken = errors.ConstError("status written under a later lease")

// statusWriter keeps a pool's status object. One goroutine uses it.
type statusWriter struct {
	store objectapi.Store
	name  string
	fence uint64

	known   bool   // the fields below are what the store has
	version uint64 // of the object; 0: there is none
	written Status
}

// write brings the object to next if that says anything new. After an error the
// object is read again first: whether a write whose answer was lost took effect
// shows by its value.
func (w *statusWriter) write(ctx context.Context, now time.Time, next Status) error {
	if !w.known {
		if err := w.read(ctx); err != nil {
			return errors.Annotatef(err, "step read status, object %s", w.name)
		}
	}
	if w.written.Fence > w.fence {
		return errors.Annotatef(errOvertaken, "object %s: fence %d after %d", w.name, w.fence, w.written.Fence)
	}
	next.Fence = w.fence
	since(now, next.Conditions, w.written.Conditions)
	if w.version > 0 && same(&w.written, &next) {
		return nil
	}
	return errors.Annotatef(w.put(ctx, next), "step write status, object %s", w.name)
}

func (w *statusWriter) read(ctx context.Context) error {
	o, err := w.store.Get(ctx, KindStatus, w.name)
	if errors.Is(err, objectapi.ErrNotFound) {
		w.known, w.version, w.written = true, 0, Status{}
		return nil
	}
	if err != nil {
		return err
	}
	w.written = Status{}
	// What can't be read is replaced.
	_ = json.Unmarshal(o.Data, &w.written)
	w.known, w.version = true, o.Version
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
		w.known = false
		return err
	}
	// The times as the store has them, without a monotonic part.
	w.written = Status{}
	_ = json.Unmarshal(data, &w.written)
	w.version = o.Version
	return nil
}

// firstOf returns the alphabetically first of some messages, so that a status
// doesn't change with the order of failures.
func firstOf(messages map[string]string) string {
	first := ""
	for server, m := range messages {
		if text := server + ": " + m; first == "" || cmp.Less(text, first) {
			first = text
		}
	}
	return first
}
