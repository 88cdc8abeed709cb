package chaos

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/briarturn/briarturn/internal/load"
	"github.com/briarturn/briarturn/invariant"
)

// Report is what one run did and found.
type Report struct {
	Seed       uint64            `json:"seed"`
	For        time.Duration     `json:"for_ns"`
	Operations Operations        `json:"operations"`
	Faults     map[string]int64  `json:"faults"`
	Checks     []Check           `json:"checks"`
	Invariants []invariant.Count `json:"invariants"`
	Load       *load.Report      `json:"-"`
}

// Operations counts what was sent and how it ended, as callers saw it.
type Operations struct {
	Load    load.Counts      `json:"load"`
	Calls   int64            `json:"calls"`   // keys
	Issued  int64            `json:"issued"`  // of the keys, by an entry
	Prompts int64            `json:"prompts"` // probes of known ids
	Sends   int64            `json:"sends"`   // of calls and prompts
	Edits   int64            `json:"edits"`   // of declared objects
	Replies map[string]int64 `json:"replies"` // of calls and prompts
}

// Violations returns how many checks and invariants failed.
func (r *Report) Violations() int64 {
	var n int64
	for i := range r.Checks {
		n += r.Checks[i].Violated
	}
	for i := range r.Invariants {
		n += r.Invariants[i].Violated
	}
	return n
}

// fill takes in the counts. before holds the invariants' counts at the start.
func (b *bench) fill(r *Report, before []invariant.Count) {
	r.Faults = b.counts
	r.Checks = b.checks.list()
	r.Invariants = since(before)
	p := b.probes
	r.Operations = Operations{
		Load:    r.Load.All().Counts,
		Calls:   int64(len(p.calls)),
		Prompts: int64(len(p.prompts)),
		Sends:   p.sends,
		Edits:   int64(b.race.sure + b.race.unknown),
		Replies: map[string]int64{},
	}
	for _, c := range p.calls {
		if c.issued {
			r.Operations.Issued++
		}
		for i := range c.replies {
			r.Operations.Replies[c.replies[i].word()]++
		}
	}
	for _, one := range p.prompts {
		r.Operations.Replies[one.reply.word()]++
	}
}

// word names a reply's outcome.
func (r *reply) word() string {
	switch {
	case r.overdue:
		return "overdue"
	case r.broken:
		return "connection broke"
	case r.ok():
		return "ok"
	case r.code != "":
		return string(r.code) + " " + r.reason
	}
	return fmt.Sprintf("status %d", r.status)
}

func since(before []invariant.Count) []invariant.Count {
	old := map[string]invariant.Count{}
	for _, c := range before {
		old[c.Name] = c
	}
	out := invariant.Counts()
	for i := range out {
		out[i].Checked -= old[out[i].Name].Checked
		out[i].Violated -= old[out[i].Name].Violated
	}
	return out
}

// WriteTable prints the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	o := &r.Operations
	fmt.Fprintf(t, "seed %d, %v of faults\n\noperations\n", r.Seed, r.For)
	fmt.Fprintf(t, "  load requests\t%d\tfinished %d, not_run %d, unknown %d, broken %d, overdue %d\n",
		o.Load.Sent, o.Load.Finished, o.Load.NotRun, o.Load.Unknown, o.Load.Transport, o.Load.Overdue)
	fmt.Fprintf(t, "  calls under a key\t%d, %d of them issued\n  prompts of known id\t%d\n  sends of both\t%d\n  edits of objects\t%d\n",
		o.Calls, o.Issued, o.Prompts, o.Sends, o.Edits)
	writeCounts(t, "replies to calls and prompts", o.Replies)
	writeCounts(t, "faults", r.Faults)
	fmt.Fprintf(t, "\nchecks\tchecked\tviolated\n")
	for _, c := range r.Checks {
		fmt.Fprintf(t, "  %s\t%d\t%d\n", c.Name, c.Checked, c.Violated)
		for _, detail := range c.Details {
			fmt.Fprintf(t, "    %s\n", detail)
		}
	}
	fmt.Fprintf(t, "\ninvariants\tchecked\tviolated\n")
	for _, c := range r.Invariants {
		fmt.Fprintf(t, "  %s\t%d\t%d\n", c.Name, c.Checked, c.Violated)
	}
	fmt.Fprintf(t, "\nviolations\t%d\n", r.Violations())
	return t.Flush()
}

func writeCounts(w io.Writer, title string, counts map[string]int64) {
	fmt.Fprintf(w, "\n%s\n", title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "  %s\t%d\n", name, counts[name])
	}
}
