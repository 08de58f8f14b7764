package bench

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a policy that takes back good versions, finishes moves to bad
// ones, or sends a bad version hardly fewer requests than timed steps do.
func TestJudgedMovesAgainstTimedSteps(t *testing.T) {
	rows := Run(1, 3)
	for i := 0; i < len(rows); i += 2 {
		judged, timed := rows[i], rows[i+1]
		assert.Assert(t, judged.Policy == Judged && timed.Policy == Timed && judged.Kind == timed.Kind)
		t.Logf("%+v", judged)
		if judged.Good {
			assert.Equal(t, judged.TakenBack, 0.0, judged.Kind)
			assert.Assert(t, judged.OnTime > 0.999, judged.Kind)
			continue
		}
		assert.Assert(t, judged.TakenBack > 0.999 && timed.TakenBack == 0, judged.Kind)
		assert.Assert(t, judged.SentAfterFault < timed.SentAfterFault/10, judged.Kind)
		assert.Assert(t, judged.HighestShare < timed.HighestShare, judged.Kind)
	}
}
