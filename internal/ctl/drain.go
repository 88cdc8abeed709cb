package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/internal/sleep"
)

// drain asks each admin address in turn until one knows the name.
func (t *tool) drain(ctx context.Context) error {
	clients, err := t.admins()
	if err != nil {
		return errors.Trace(err)
	}
	c := t.args.Drain
	owner, state, err := startDrain(ctx, clients, c.Name)
	if err != nil {
		return errors.Annotatef(err, "step drain %s", c.Name)
	}
	for c.Wait && state.Running > 0 {
		if !sleep.For(ctx, pollInterval) {
			return errors.Annotatef(ctx.Err(), "step wait, %d still run at %s", state.Running, c.Name)
		}
		next, err := owner.Drain(ctx, c.Name)
		if goneAfterDrain(ctx, err) {
			state.Running = 0
			break
		}
		if err != nil {
			return errors.Annotatef(err, "step wait for %s", c.Name)
		}
		state = next
	}
	return t.print(state, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s draining, %d running\n", c.Name, state.Running)
		return errors.Trace(err)
	})
}

func startDrain(ctx context.Context, clients []*admin.Client, name string) (*admin.Client, admin.DrainState, error) {
	var last error
	for _, c := range clients {
		state, err := c.Drain(ctx, name)
		if err == nil {
			return c, state, nil
		}
		// One that is out of reach may be the owner: that says more than
		// another's "not known".
		if last == nil || errors.Is(last, admin.ErrUnknownName) {
			last = err
		}
	}
	return nil, admin.DrainState{}, errors.Trace(last)
}

// goneAfterDrain reports whether a drained process has ended.
func goneAfterDrain(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.Is(err, admin.ErrUnavailable)
}
