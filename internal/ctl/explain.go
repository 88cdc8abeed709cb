package ctl

import (
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/explain"
)

// explain tells from log files why a request ended as it did.
func (t *tool) explain() error {
	lines, err := t.readLogs(t.args.Explain.Files)
	if err != nil {
		return err
	}
	report, err := explain.Request(lines, t.args.Explain.Request)
	if err != nil {
		return errors.Trace(err)
	}
	return t.print(report, func(w io.Writer) error { return writeExplained(w, report) })
}

// readLogs reads files as one log.
func (t *tool) readLogs(names []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, name := range names {
		more, err := t.readLog(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// readLog reads one file. What is no line of a log is told on standard error: a
// cause may stand there.
func (t *tool) readLog(name string) ([]explain.Line, error) {
	in := t.env.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.WithType(errors.Annotate(err, "step open log"), errUsage)
		}
		defer f.Close()
		in = f
	}
	lines, skipped, err := explain.Read(in)
	if skipped > 0 {
		fmt.Fprintf(t.env.Stderr, "briarturnctl: %s: %d lines are no log lines of ours\n", name, skipped)
	}
	return lines, errors.Annotatef(err, "step read %s", name)
}

func writeExplained(w io.Writer, r *explain.Report) error {
	if _, err := fmt.Fprintf(w, "request %s\ncause: %s\n", r.Request, r.Cause); err != nil {
		return errors.Annotate(err, "step print")
	}
	for _, part := range []struct {
		title string
		lines []explain.Line
	}{
		{"its lines", r.Own},
		{"what its process logged of itself meanwhile, and shortly before", r.State},
		{"requests with the most reading on its server meanwhile", r.Company},
		{"requests that came later and had room before it", r.Overtakers},
	} {
		if err := writeLines(w, part.title, part.lines); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func writeLines(w io.Writer, title string, lines []explain.Line) error {
	if len(lines) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(w, "\n%s:\n", title); err != nil {
		return errors.Annotate(err, "step print")
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "  %s\n", l.Text); err != nil {
			return errors.Annotate(err, "step print")
		}
	}
	return nil
}
