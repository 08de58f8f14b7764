package relay

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"gotest.tools/v3/assert"
)

// Guards against tokens that are taken from the wrong place or twice.
func TestAccept(t *testing.T) {
	attempt := generation.Attempt{Number: 2, Stream: "s2", Open: true}
	own := connection{2, "s2"}
	cases := []struct {
		name            string
		attempt         generation.Attempt
		from            connection
		position, count int
		verdict         Verdict
		skip            int
	}{
		{"next token", attempt, own, 5, 1, Accepted, 0},
		{"overlap", attempt, own, 3, 4, Accepted, 2},
		{"known tokens", attempt, own, 3, 2, Duplicate, 0},
		{"missing token", attempt, own, 6, 1, Gap, 0},
		{"older connection", attempt, connection{1, "s2"}, 5, 1, Stale, 0},
		{"closed attempt", generation.Attempt{Number: 2, Stream: "s2"}, own, 5, 1, Stale, 0},
		{"another stream", attempt, connection{2, "s1"}, 5, 1, Crossed, 0},
	}
	for _, c := range cases {
		verdict, skip := accept(c.attempt, 5, c.from, c.position, c.count)
		assert.Equal(t, verdict, c.verdict, c.name)
		assert.Equal(t, skip, c.skip, c.name)
	}
}

// Guards against an answer that ends before or after its last token.
func TestAcceptEnd(t *testing.T) {
	attempt := generation.Attempt{Number: 1, Stream: "s", Open: true}
	own := connection{1, "s"}
	assert.Equal(t, acceptEnd(attempt, 5, own, 5), Duplicate)
	assert.Equal(t, acceptEnd(attempt, 5, own, 6), Gap)
	assert.Equal(t, acceptEnd(attempt, 5, own, 4), Gap)
	assert.Equal(t, acceptEnd(attempt, 5, connection{0, "s"}, 5), Stale)
}

// Guards against limits by which two losses in a row take more than 5 s.
func TestSilenceOfTwoLossesFitsTheTarget(t *testing.T) {
	slow := generation.Attempt{Interval: time.Second, Expected: time.Minute}
	total := silenceLimit(slow, true, false) + silenceLimit(slow, false, true)
	assert.Assert(t, total <= 3*time.Second, "%v", total)
}

// Guards against a splice: after a token was shown, nothing but the same
// version may follow.
func TestNextNeverRestartsAShownAnswer(t *testing.T) {
	losses := []Loss{LossReset, LossTruncated, LossDial, LossSilence, LossStatus, LossBusy, LossVersion,
		LossNoStream, LossGap, LossCrossed, LossLeaving, LossRejected}
	for _, loss := range losses {
		for _, other := range []bool{true, false} {
			s := Situation{Loss: loss, Tokens: 3, Shown: 1, OtherReady: other}
			assert.Assert(t, next(s) != Restart, "%+v", s)
			s.Attached = true
			assert.Assert(t, next(s) != Restart, "%+v", s)
		}
	}
}
