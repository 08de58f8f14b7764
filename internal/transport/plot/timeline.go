// Package plot draws the outcomes of requests and the faults of a run on one
// timeline, as an SVG picture.
package plot

import (
	"bytes"
	"fmt"
	"html"
	"time"
)

// Outcome is a kind of outcome with the colour of its columns.
type Outcome struct{ Name, Colour string }

// Bar is a labelled period of the run, such as a fault.
type Bar struct {
	From, To time.Duration
	Label    string
}

// Timeline counts outcomes in columns of the duration Column. The counts of a
// column are in the order of Outcomes, which is drawn from bottom to top.
type Timeline struct {
	Title      string
	ColumnTime time.Duration
	Outcomes   []Outcome
	Columns    [][]int
	Bars       []Bar
}

const (
	pixelsPerSecond = 50
	maxColumnHeight = 160 // pixels
	lineHeight      = 14  // pixels of a bar with its label
)

// New returns an empty timeline of the given length.
func New(title string, column, length time.Duration, kinds []Outcome) *Timeline {
	t := &Timeline{Title: title, ColumnTime: column, Outcomes: kinds}
	for range int(length/column) + 2 {
		t.Columns = append(t.Columns, make([]int, len(kinds)))
	}
	return t
}

// Count adds one outcome at a time after the start of the run. Outcomes after the
// end count in the last column.
func (t *Timeline) Count(at time.Duration, kind int) {
	column := min(max(int(at/t.ColumnTime), 0), len(t.Columns)-1)
	t.Columns[column][kind]++
}

// SVG returns the timeline as an SVG picture.
func (t *Timeline) SVG() []byte {
	maxTotal := 1
	for _, counts := range t.Columns {
		maxTotal = max(maxTotal, total(counts))
	}
	length := time.Duration(len(t.Columns)) * t.ColumnTime
	var out bytes.Buffer
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">`+"\n",
		int(length.Seconds()*pixelsPerSecond)+200, maxColumnHeight+60+lineHeight*len(t.Bars))
	fmt.Fprintf(&out, `<text x="4" y="12">%s: each %v, at most %d</text>`+"\n", html.EscapeString(t.Title), t.ColumnTime, maxTotal)
	for i, kind := range t.Outcomes {
		fmt.Fprintf(&out, `<text x="%d" y="12" fill="%s">%s</text>`+"\n", 300+i*60, kind.Colour, html.EscapeString(kind.Name))
	}
	t.drawColumns(&out, maxTotal)
	for s := 0; s <= int(length.Seconds()); s += 2 {
		fmt.Fprintf(&out, `<text x="%d" y="%d">%d s</text>`+"\n", s*pixelsPerSecond, maxColumnHeight+32, s)
	}
	for i, bar := range t.Bars {
		x, y := int(bar.From.Seconds()*pixelsPerSecond), maxColumnHeight+40+i*lineHeight
		width := max(int((bar.To-bar.From).Seconds()*pixelsPerSecond), 3)
		fmt.Fprintf(&out, `<rect x="%d" y="%d" width="%d" height="%d" fill="#5b7db1"/><text x="%d" y="%d">%s</text>`+"\n",
			x, y, width, lineHeight-4, x+width+4, y+9, html.EscapeString(bar.Label))
	}
	out.WriteString("</svg>\n")
	return out.Bytes()
}

func (t *Timeline) drawColumns(out *bytes.Buffer, maxTotal int) {
	width := int(t.ColumnTime.Seconds() * pixelsPerSecond)
	for i, counts := range t.Columns {
		y := maxColumnHeight + 20
		for kind, n := range counts {
			height := n * maxColumnHeight / maxTotal
			y -= height
			fmt.Fprintf(out, `<rect x="%d" y="%d" width="%d" height="%d" fill="%s"/>`+"\n", i*width, y, width-1, height, t.Outcomes[kind].Colour)
		}
	}
}

func total(counts []int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}
