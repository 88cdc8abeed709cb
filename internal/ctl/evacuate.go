package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/platform"
)

// evacuation is what the command did, and with --wait which processes know of it.
type evacuation struct {
	Zone      string   `json:"zone"`
	Evacuated bool     `json:"evacuated"`
	Changed   bool     `json:"changed"`
	Servers   int      `json:"servers"` // that are registered in the zone
	InForce   []string `json:"in_force,omitempty"`
	Missing   []string `json:"missing,omitempty"` // asked, and it isn't in force there
}

// evacuate asks for nothing new to be sent to an availability zone, or ends that.
func (t *tool) evacuate(ctx context.Context) error {
	c := t.args.Evacuate
	store, err := t.store()
	if err != nil {
		return errors.Trace(err)
	}
	e := evacuation{Zone: c.Zone, Evacuated: !c.End}
	if c.End {
		e.Changed, err = endEvacuation(ctx, store, c.Zone)
	} else {
		e.Changed, err = beginEvacuation(ctx, store, c.Zone)
	}
	if err == nil {
		e.Servers, err = serversIn(ctx, store, c.Zone, t.env.Now())
	}
	if err != nil {
		return errors.Annotatef(err, "step evacuate %s", c.Zone)
	}
	if c.Wait {
		err = t.awaitEvacuation(ctx, &e)
	}
	return errors.Trace(firstOf(err, t.print(e, e.write)))
}

func beginEvacuation(ctx context.Context, store objectapi.Store, zone string) (changed bool, err error) {
	_, err = store.Create(ctx, platform.KindEvacuations, zone, json.RawMessage(`{}`))
	if errors.Is(err, objectapi.ErrExists) {
		return false, nil
	}
	return err == nil, err
}

func endEvacuation(ctx context.Context, store objectapi.Store, zone string) (changed bool, err error) {
	o, err := store.Get(ctx, platform.KindEvacuations, zone)
	if errors.Is(err, objectapi.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	_, err = store.Delete(ctx, platform.KindEvacuations, zone, o.Version)
	if errors.Is(err, objectapi.ErrNotFound) {
		return false, nil // another operator was first
	}
	return err == nil, err
}

// serversIn counts the backend servers that are registered in a zone. Where there are none its
// name may be mistaken.
func serversIn(ctx context.Context, store objectapi.Store, zone string, now time.Time) (int, error) {
	l, err := store.List(ctx, platform.KindServers, "")
	if err != nil {
		return 0, err
	}
	n := 0
	for _, o := range l.Objects {
		server, err := platform.DecodeServer(o, now)
		if err == nil && server.Zone == zone { // what can't be read is no server
			n++
		}
	}
	return n, nil
}

// awaitEvacuation asks the processes until all that answer know of it.
func (t *tool) awaitEvacuation(ctx context.Context, e *evacuation) error {
	clients, err := t.admins()
	if err != nil {
		return err
	}
	for {
		e.look(ctx, clients)
		if len(e.Missing) == 0 {
			return nil
		}
		if !sleep.For(ctx, pollInterval) {
			return errors.Annotatef(context.DeadlineExceeded, "not in force at %d processes", len(e.Missing))
		}
	}
}

// look asks each process once.
func (e *evacuation) look(ctx context.Context, clients []*admin.Client) {
	e.InForce, e.Missing = nil, nil
	for _, p := range askAll(ctx, clients, 0).Processes {
		if p.err == nil && slices.Contains(p.EvacuatedZones, e.Zone) == e.Evacuated {
			e.InForce = append(e.InForce, p.Name)
			continue
		}
		e.Missing = append(e.Missing, p.Address)
	}
}

func (e *evacuation) write(w io.Writer) error {
	state := "restored"
	if e.Evacuated {
		state = "evacuated"
	}
	if !e.Changed {
		state += ", as it was"
	}
	fmt.Fprintf(w, "zone %s %s, %d backend servers\n", e.Zone, state, e.Servers)
	if len(e.InForce)+len(e.Missing) > 0 {
		fmt.Fprintf(w, "in force at %d of %d processes\n", len(e.InForce), len(e.InForce)+len(e.Missing))
	}
	return nil
}
