package relay

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"gotest.tools/v3/assert"
)

// Guards against limits with which output resumes more than 5 s after two losses
// in a row.
func TestSilenceOfTwoLossesFitsTheTarget(t *testing.T) {
	slow := continuation.Pace{Interval: time.Second, Expected: time.Minute}
	total := tokenSilence.Timeout(slow, true, false) + tokenSilence.Timeout(slow, false, true)
	assert.Assert(t, total <= 3*time.Second, "%v", total)
}
