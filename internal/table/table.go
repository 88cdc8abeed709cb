// Package table writes plain-text tables in the format that all reports share.
package table

import (
	"io"

	"github.com/juju/errors"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"
)

// Write writes a table with a header to w. The first column is left-aligned, the
// others are right-aligned. The header must not be empty.
func Write(w io.Writer, header []string, rows [][]string) error {
	align := tw.MakeAlign(len(header), tw.AlignRight)
	align[0] = tw.AlignLeft
	t := tablewriter.NewTable(w,
		tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithHeaderAutoWrap(tw.WrapNone),
		tablewriter.WithAlignment(align),
	)
	t.Configure(func(c *tablewriter.Config) {
		c.Row.Formatting.AutoWrap = tw.WrapNone
	})
	t.Header(header)
	if err := t.Bulk(rows); err != nil {
		return errors.Annotate(err, "step table rows")
	}
	return errors.Annotate(t.Render(), "step table render")
}
