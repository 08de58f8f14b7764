package rollout

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against minutes that are closed while their rows still arrive, which
// would lose evidence, and against rows that are kept without a bound.
func TestFirstOpenMinute(t *testing.T) {
	const now, oldest = 1000, 1000 - horizon
	cases := []struct {
		name      string
		perMinute int
		want      int64
	}{
		{"small traffic keeps the horizon", maxEvidenceRows / horizon, oldest},
		{"one move of 640 instances", 1280, now - 11},
		{"eleven moves of 640 instances", 14_080, now - openMinutes},
		{"one minute above the bound", maxEvidenceRows + 1, now - openMinutes},
	}
	for _, c := range cases {
		rows := map[int64]int{}
		for minute := int64(now); minute > oldest; minute-- {
			rows[minute] = c.perMinute
		}
		assert.Equal(t, firstOpen(rows, now), c.want, c.name)
	}
}
