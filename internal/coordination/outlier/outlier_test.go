package outlier

import (
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/state/outcome"
	"gotest.tools/v3/assert"
)

// Guards against a high risk after one failure among many outcomes, a risk that does
// not show a first failure, and a risk of upstreams without outcomes.
func TestRisk(t *testing.T) {
	tests := []struct {
		name     string
		tally    outcome.Tally
		from, to float64
	}{
		{"unknown", outcome.Tally{}, 0, 0},
		{"one failure", outcome.Tally{Requests: 1, Bad: 1}, MinLoggedRisk, 0.4},
		{"one failure among many", outcome.Tally{Requests: 40, Bad: 1}, 0, 0.02},
		{"two in five fail", outcome.Tally{Requests: 40, Bad: 16}, 0.3, 0.4},
		{"all fail", outcome.Tally{Requests: 40, Bad: 40}, 0.9, 1},
		{"all good", outcome.Tally{Requests: 40}, 0, 0},
	}
	for _, test := range tests {
		risk := Risk(test.tally)
		assert.Assert(t, risk >= test.from && risk <= test.to, "%s: %v", test.name, risk)
	}
}
