package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// printer writes results as a table or as JSON.
type printer struct {
	out  io.Writer
	json bool
}

// table is the human-readable form of a result.
type table struct {
	header []any
	rows   [][]any
	note   string // line below the rows
}

// print writes value if the output format is JSON, and the table otherwise.
func (p printer) print(value any, t table) error {
	if p.json {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return trace.ConvertSystemError(encoder.Encode(value))
	}
	return p.table(t)
}

func (p printer) table(t table) error {
	w := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	for _, cells := range append([][]any{t.header}, t.rows...) {
		writeRow(w, cells)
	}
	if err := w.Flush(); err != nil || t.note == "" {
		return trace.ConvertSystemError(err)
	}
	_, err := fmt.Fprintln(p.out, t.note)
	return trace.ConvertSystemError(err)
}

// writeRow ignores errors: the flush of the writer returns them.
func writeRow(w io.Writer, cells []any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, cell)
	}
	if len(cells) > 0 {
		_, _ = fmt.Fprintln(w)
	}
}

// timeText prints a time, or a dash for none.
func timeText(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// dash stands for an empty cell.
func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
