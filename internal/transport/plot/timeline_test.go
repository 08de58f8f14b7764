package plot

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a picture that is not valid XML, and against a timeline that drops
// outcomes after its end.
func TestTimeline(t *testing.T) {
	line := New("a < b", 500*time.Millisecond, 2*time.Second, []Outcome{{"served", "#4c9f70"}, {"lost", "#c0392b"}})
	line.Count(0, 0)
	line.Count(time.Minute, 1)
	line.Bars = append(line.Bars, Bar{From: time.Second, To: 2 * time.Second, Label: "crash & restart"})
	assert.DeepEqual(t, line.Columns[len(line.Columns)-1], []int{0, 1})
	decoder := xml.NewDecoder(bytes.NewReader(line.SVG()))
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		assert.NilError(t, err)
	}
}
