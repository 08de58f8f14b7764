package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Row is one line of the report. Baseline, Slope and Fixed are empty where
// there is none.
type Row struct {
	Section  string
	Case     string // size, or kind of case
	Figure   string
	Unit     string
	Value    string
	Baseline string // the same figure of a simpler version in this repository
	Slope    string // increase for each unit of size
	Fixed    string // value at size 0
}

// Print writes the rows as one table.
func Print(w io.Writer, rows []Row) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := []Row{{"section", "case", "figure", "unit", "value", "baseline", "slope", "fixed"}}
	for _, r := range append(lines, rows...) {
		columns := []string{r.Section, r.Case, r.Figure, r.Unit, r.Value, r.Baseline, r.Slope, r.Fixed}
		for i, text := range columns {
			if text == "" {
				columns[i] = "-"
			}
		}
		if _, err := fmt.Fprintln(out, strings.Join(columns, "\t")); err != nil {
			return err
		}
	}
	return out.Flush()
}

// formatNumber formats a value with at least three significant digits.
func formatNumber(v float64) string {
	switch {
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

func formatMillis(d time.Duration) string {
	return formatNumber(float64(d) / float64(time.Millisecond))
}

// point is a figure at one size.
type point struct {
	size  int
	value float64
}

// fitLine fits value = fixed + slope*size by least squares.
func fitLine(points []point) (slope, fixed float64) {
	var meanSize, meanValue float64
	for _, p := range points {
		meanSize += float64(p.size) / float64(len(points))
		meanValue += p.value / float64(len(points))
	}
	var covariance, variance float64
	for _, p := range points {
		d := float64(p.size) - meanSize
		covariance += d * (p.value - meanValue)
		variance += d * d
	}
	if variance == 0 {
		return 0, meanValue
	}
	slope = covariance / variance
	return slope, meanValue - slope*meanSize
}

// slopeRows returns a row for each point. The last row also has the slope and the
// fixed part.
func slopeRows(section, size, figure, unit string, points []point) []Row {
	slope, fixed := fitLine(points)
	rows := make([]Row, 0, len(points))
	for _, p := range points {
		rows = append(rows, Row{
			Section: section, Case: fmt.Sprintf("%d %s", p.size, size), Figure: figure, Unit: unit, Value: formatNumber(p.value),
		})
	}
	if len(points) > 1 {
		rows[len(rows)-1].Slope, rows[len(rows)-1].Fixed = formatNumber(slope), formatNumber(fixed)
	}
	return rows
}
