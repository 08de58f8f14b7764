package relay

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"gotest.tools/v3/assert"
)

// Guards against silence limits so long that output resumes more than 5 s after two
// losses in a row; detecting both losses may take 3 s.
func TestSilenceOfTwoLossesFitsTheTarget(t *testing.T) {
	slow := continuation.Pace{Interval: time.Second, Expected: time.Minute}
	total := tokenSilence.Timeout(slow, true, false) + tokenSilence.Timeout(slow, false, true)
	assert.Assert(t, total <= 3*time.Second, "%v", total)
}
