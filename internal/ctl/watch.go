package ctl

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/objectapi"
)

// watch prints the objects of a kind, then each change, until it is
// interrupted. It waits through outages of the object API and says so on
// standard error.
func (t *tool) watch(ctx context.Context) error {
	store, err := t.store()
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log := logrus.New()
	log.SetOutput(t.env.Stderr)
	sink := &printer{tool: t, failed: cancel}
	objectapi.NewWatcher(objectapi.WatcherConfig{
		Store: store,
		Kinds: []string{t.args.Watch.Kind},
		Sink:  sink,
		Log:   log,
	}).Run(ctx)
	return errors.Trace(sink.err)
}

// printer prints what a watcher brings. After a gap it gets all objects again
// and prints those that are new to it, and a line for those that are gone.
type printer struct {
	tool   *tool
	failed func()
	err    error
	known  map[string]objectapi.Object // live, by name
}

// Snapshot implements objectapi.Sink.
func (p *printer) Snapshot(kind string, l objectapi.Listing) {
	before := p.known
	p.known = make(map[string]objectapi.Object, len(l.Objects))
	for _, o := range l.Objects {
		p.known[o.Name] = o
		if before[o.Name].Version != o.Version {
			p.print(o)
		}
	}
	for name := range before {
		if _, ok := p.known[name]; !ok {
			// The version of the deletion fell into the gap; the revision of
			// the listing is at least that.
			p.print(objectapi.Object{Kind: kind, Name: name, Version: l.Revision, Deleted: true})
		}
	}
}

// Events implements objectapi.Sink.
func (p *printer) Events(_ string, l objectapi.Listing) {
	for _, o := range l.Objects {
		if o.Deleted {
			delete(p.known, o.Name)
		} else {
			p.known[o.Name] = o
		}
		p.print(o)
	}
}

// print writes one line. Where standard output is gone the watch ends.
func (p *printer) print(o objectapi.Object) {
	if p.err != nil {
		return
	}
	line, err := p.tool.eventLine(o)
	if err == nil {
		_, err = fmt.Fprintln(p.tool.env.Stdout, line)
	}
	if err != nil {
		p.err = errors.Annotate(err, "step print")
		p.failed()
	}
}

func (t *tool) eventLine(o objectapi.Object) (string, error) {
	if t.args.JSON {
		data, err := json.Marshal(o)
		return string(data), errors.Annotate(err, "step print object")
	}
	if o.Deleted {
		return fmt.Sprintf("%s %s/%s deleted", objectapi.FormatRevision(o.Version), o.Kind, o.Name), nil
	}
	return fmt.Sprintf("%s %s/%s %s", objectapi.FormatRevision(o.Version), o.Kind, o.Name, oneLine(o.Data)), nil
}
