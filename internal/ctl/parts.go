package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/internal/table"
)

// partsOfProcess is what one process holds or refuses.
type partsOfProcess struct {
	Process string              `json:"process"`
	Parts   []admin.SuspectPart `json:"parts"`
}

// suspectParts is the answer of all processes.
type suspectParts []partsOfProcess

// parts shows the parts of prompts that are held or refused, or ends that for one of them.
func (t *tool) parts(ctx context.Context) error {
	clients, err := t.admins()
	if err != nil {
		return errors.Trace(err)
	}
	if t.args.Parts.Release != "" {
		return errors.Trace(t.releasePart(ctx, clients))
	}
	fleet := askAll(ctx, clients, 0)
	var out suspectParts
	for _, p := range fleet.Processes {
		if p.err != nil {
			return errors.Trace(p.err)
		}
		out = append(out, partsOfProcess{Process: p.Name, Parts: p.SuspectParts})
	}
	return errors.Trace(t.print(out, out.write))
}

// releasePart asks each process in turn until one knows the part; it tells the others.
func (t *tool) releasePart(ctx context.Context, clients []*admin.Client) error {
	c := t.args.Parts
	release := admin.PartRelease{Service: c.Service, Model: c.Model, Part: c.Release}
	var last error
	for _, client := range clients {
		err := client.ReleasePart(ctx, release)
		if err == nil {
			return t.print(release, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "part %s of service %s, model %s released\n", release.Part, release.Service, release.Model)
				return errors.Trace(err)
			})
		}
		if last == nil || errors.Is(last, admin.ErrUnknownName) {
			last = err
		}
	}
	return errors.Annotatef(last, "step release part %s", release.Part)
}

func (s suspectParts) write(w io.Writer) error {
	var rows [][]string
	for _, process := range s {
		for _, p := range process.Parts {
			rows = append(rows, partCells(process.Process, p))
		}
	}
	header := []string{"told by", "service", "model", "parts", "state", "deaths", "since", "last", "tried again at"}
	return errors.Trace(table.Write(w, header, rows))
}

func partCells(process string, p admin.SuspectPart) []string {
	state := "one at a time"
	if p.Refused {
		state = "refused"
	}
	retryAt := p.RetryAt
	if retryAt == "" {
		retryAt = "-"
	}
	return []string{process, p.Service, p.Model, strings.Join(p.Parts, ","), state, fmt.Sprint(len(p.Deaths)), p.Since, p.Last, retryAt}
}
