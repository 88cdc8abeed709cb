package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/table"
	"github.com/briarturn/briarturn/objectapi"
)

// maxCell bounds a value in a line of text, in bytes.
const maxCell = 100

func (t *tool) get(ctx context.Context) error {
	store, err := t.store()
	if err != nil {
		return errors.Trace(err)
	}
	c := t.args.Get
	if c.Name != "" {
		o, err := store.Get(ctx, c.Kind, c.Name)
		if err != nil {
			return errors.Annotatef(err, "step get %s/%s", c.Kind, c.Name)
		}
		return t.print(o, func(w io.Writer) error { return writeObject(w, o) })
	}
	l, err := store.List(ctx, c.Kind, "")
	if err != nil {
		return errors.Annotatef(err, "step list %s", c.Kind)
	}
	return t.print(l, func(w io.Writer) error { return writeListing(w, l) })
}

func writeObject(w io.Writer, o objectapi.Object) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, o.Data, "", "  "); err != nil {
		return errors.Annotate(err, "step print object")
	}
	_, err := fmt.Fprintf(w, "%s/%s version %d\n%s\n", o.Kind, o.Name, o.Version, indented.String())
	return errors.Trace(err)
}

func writeListing(w io.Writer, l objectapi.Listing) error {
	var rows [][]string
	for _, o := range l.Objects {
		rows = append(rows, []string{o.Name, fmt.Sprint(o.Version), oneLine(o.Data)})
	}
	return table.Write(w, []string{"name", "version", "data"}, rows)
}

func oneLine(data json.RawMessage) string {
	var compact bytes.Buffer
	if json.Compact(&compact, data) != nil {
		return "(not JSON)"
	}
	if compact.Len() > maxCell {
		return string(bytes.ToValidUTF8(compact.Bytes()[:maxCell], nil)) + "..."
	}
	return compact.String()
}
