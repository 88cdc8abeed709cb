package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/objectapi"
)

// Back-off of apply, against an object API that is throttled or out, and
// against other operators.
const (
	applyBackoffInitial = 20 * time.Millisecond
	applyBackoffMax     = 2 * time.Second
)

// What apply did to an object.
const (
	actionCreated   = "created"
	actionChanged   = "changed"
	actionUnchanged = "unchanged"
)

// applied is what apply did, or with --dry-run would do, to one object.
type applied struct {
	Kind    string   `json:"kind"`
	Name    string   `json:"name"`
	Action  string   `json:"action"`
	Version uint64   `json:"version"`
	Changes []change `json:"changes,omitempty"`
}

// apply reads and validates all objects before it writes the first one: a fault in the
// last file must not leave half a change behind.
func (t *tool) apply(ctx context.Context) error {
	c := t.args.Apply
	ms, err := readManifests(c.Files, t.env.Stdin)
	if err != nil {
		return errors.Trace(err)
	}
	store, err := t.store()
	if err != nil {
		return errors.Trace(err)
	}
	var done []applied
	for i := range ms {
		one, err := applyRetrying(ctx, store, &ms[i], c.DryRun)
		if err != nil {
			err = errors.Annotatef(err, "step apply %s/%s, after %d of %d objects", ms[i].Kind, ms[i].Name, len(done), len(ms))
			return errors.Trace(firstOf(err, t.printApplied(done)))
		}
		done = append(done, one)
	}
	return t.printApplied(done)
}

// firstOf returns the first error that isn't nil.
func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// applyRetrying goes on until the object is what the file says or ctx ends. On
// a conflict it reads again: the condition of the next write is then the other
// operator's version, and the changes printed are against that.
func applyRetrying(ctx context.Context, s objectapi.Store, m *declared.DecodedObject, dry bool) (applied, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = applyBackoffInitial
	wait.MaxInterval = applyBackoffMax
	return backoff.Retry(ctx, func() (applied, error) {
		one, err := applyOnce(ctx, s, m, dry)
		if err != nil && !isAny(err, objectapi.ErrConflict, objectapi.ErrExists, objectapi.ErrNotFound) && !objectapi.IsTransient(err) {
			err = backoff.Permanent(err)
		}
		return one, err
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(0))
}

func applyOnce(ctx context.Context, s objectapi.Store, m *declared.DecodedObject, dry bool) (applied, error) {
	out := applied{Kind: m.Kind, Name: m.Name, Action: actionChanged}
	now, err := s.Get(ctx, m.Kind, m.Name)
	if errors.Is(err, objectapi.ErrNotFound) {
		out.Action = actionCreated
	} else if err != nil {
		return out, errors.Trace(err)
	}
	out.Changes, err = difference(now.Data, m.Data)
	if err != nil {
		return out, errors.Trace(err)
	}
	out.Version = now.Version
	if len(out.Changes) == 0 {
		out.Action = actionUnchanged
	}
	if dry || out.Action == actionUnchanged {
		return out, nil
	}
	write := objectapi.ConditionalWrite{Kind: m.Kind, Name: m.Name, Data: m.Data, Version: now.Version}
	// Any object with the value of the file is as good as ours, whoever wrote
	// it: the value itself is the mark.
	o, err := objectapi.WriteAndVerify(ctx, s, write, func(o objectapi.Object) bool {
		left, err := difference(o.Data, m.Data)
		return err == nil && len(left) == 0
	})
	out.Version = o.Version
	return out, errors.Trace(err)
}

func (t *tool) printApplied(done []applied) error {
	return t.print(done, func(w io.Writer) error {
		for _, a := range done {
			fmt.Fprintf(w, "%s/%s %s (version %d)\n", a.Kind, a.Name, a.Action, a.Version)
			for _, c := range a.Changes {
				fmt.Fprintf(w, "  %s\n", c)
			}
		}
		return nil
	})
}
