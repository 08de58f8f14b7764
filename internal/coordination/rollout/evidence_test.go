package rollout

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against folding minutes into sums while rows of them still arrive, which
// would lose evidence, and against an evidence table that grows without bound.
func TestFirstOpenMinute(t *testing.T) {
	const now, oldest = 1000, 1000 - horizonMinutes
	cases := []struct {
		name          string
		rowsPerMinute int
		want          int64
	}{
		{"small traffic keeps the horizon", maxEvidenceRows / horizonMinutes, oldest},
		{"one move of 640 instances", 1280, now - 11},
		{"eleven moves of 640 instances", 14_080, now - lateRowMinutes},
		{"one minute above the bound", maxEvidenceRows + 1, now - lateRowMinutes},
	}
	for _, c := range cases {
		rows := map[int64]int{}
		for minute := int64(now); minute > oldest; minute-- {
			rows[minute] = c.rowsPerMinute
		}
		assert.Equal(t, firstOpenMinute(rows, now), c.want, c.name)
	}
}
