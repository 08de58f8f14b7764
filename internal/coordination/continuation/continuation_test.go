package continuation

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against tokens that are taken from the wrong place or twice.
func TestAccept(t *testing.T) {
	own := Connection{2, "s2"}
	attempt := Current{own, true}
	cases := []struct {
		name            string
		attempt         Current
		from            Connection
		position, count int
		verdict         Verdict
		skip            int
	}{
		{"next token", attempt, own, 5, 1, Accepted, 0},
		{"overlap", attempt, own, 3, 4, Accepted, 2},
		{"known tokens", attempt, own, 3, 2, Duplicate, 0},
		{"missing token", attempt, own, 6, 1, Gap, 0},
		{"older connection", attempt, Connection{1, "s2"}, 5, 1, Stale, 0},
		{"closed attempt", Current{own, false}, own, 5, 1, Stale, 0},
		{"another stream", attempt, Connection{2, "s1"}, 5, 1, Crossed, 0},
	}
	for _, c := range cases {
		verdict, skip := Accept(c.attempt, 5, c.from, c.position, c.count)
		assert.Equal(t, verdict, c.verdict, c.name)
		assert.Equal(t, skip, c.skip, c.name)
	}
}

// Guards against an answer that ends before or after its last token.
func TestAcceptEnd(t *testing.T) {
	own := Connection{1, "s"}
	attempt := Current{own, true}
	assert.Equal(t, AcceptEnd(attempt, 5, own, 5), Duplicate)
	assert.Equal(t, AcceptEnd(attempt, 5, own, 6), Gap)
	assert.Equal(t, AcceptEnd(attempt, 5, own, 4), Gap)
	assert.Equal(t, AcceptEnd(attempt, 5, Connection{0, "s"}, 5), Stale)
}

// Guards against a splice: after a token was shown, nothing but the same
// version may follow.
func TestNextNeverRestartsAShownAnswer(t *testing.T) {
	losses := []Loss{LossReset, LossTruncated, LossDial, LossSilence, LossStatus, LossBusy, LossVersion,
		LossNoStream, LossGap, LossCrossed, LossLeaving, LossRejected}
	for _, loss := range losses {
		for _, other := range []bool{true, false} {
			s := Situation{Loss: loss, Tokens: 3, Shown: 1, OtherReady: other}
			assert.Assert(t, Next(s) != Restart, "%+v", s)
			s.Rejoinable = true
			assert.Assert(t, Next(s) != Restart, "%+v", s)
		}
	}
}
