package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listReading is one reading of the list.
type listReading struct {
	after       time.Duration // since the previous reading
	leaving     bool
	incarnation uint64
	marked      uint64 // 0: no mark
}

// Guards against a leaving upstream that is never marked because this process
// started after the upstream began to leave, and against marking an incarnation
// that started after the listed one.
func TestLeavingUpstreams(t *testing.T) {
	for name, readings := range map[string][]listReading{
		"seen working":         {{0, false, 1, 0}, {time.Second, true, 1, 1}, {time.Second, true, 1, 0}, {time.Minute, true, 1, 0}},
		"never seen working":   {{0, true, 1, 0}, {maxListLag - 1, true, 1, 0}, {1, true, 1, 1}, {time.Minute, true, 1, 0}},
		"restarted meanwhile":  {{0, false, 1, 0}, {time.Second, true, 2, 1}, {time.Second, true, 2, 0}, {time.Second, false, 2, 0}},
		"list lags a restart":  {{0, true, 1, 0}, {maxListLag - 1, true, 2, 0}, {time.Second, true, 2, 0}, {time.Second, false, 2, 0}},
		"leaves once more":     {{0, false, 1, 0}, {0, true, 1, 1}, {0, false, 2, 0}, {0, true, 2, 2}},
		"restart after a mark": {{0, false, 1, 0}, {0, true, 1, 1}, {0, true, 2, 0}, {maxListLag, true, 2, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := NewLeavingUpstreams(), start
			for i, reading := range readings {
				now = now.Add(reading.after)
				marked, _ := l.Observe("u", reading.leaving, reading.incarnation, now)
				assert.Equal(t, marked, reading.marked, "reading %d", i)
			}
		})
	}
}
