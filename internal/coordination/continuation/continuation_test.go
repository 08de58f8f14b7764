package continuation

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against tokens that are accepted twice, out of position, or from another
// attempt or stream.
func TestAccept(t *testing.T) {
	conn := Connection{2, "s2"}
	attempt := Current{conn, true}
	cases := []struct {
		name            string
		attempt         Current
		from            Connection
		position, count int
		verdict         Verdict
		skip            int
	}{
		{"next token", attempt, conn, 5, 1, Accepted, 0},
		{"overlap", attempt, conn, 3, 4, Accepted, 2},
		{"known tokens", attempt, conn, 3, 2, Duplicate, 0},
		{"missing token", attempt, conn, 6, 1, Gap, 0},
		{"older connection", attempt, Connection{1, "s2"}, 5, 1, Stale, 0},
		{"closed attempt", Current{conn, false}, conn, 5, 1, Stale, 0},
		{"another stream", attempt, Connection{2, "s1"}, 5, 1, WrongStream, 0},
	}
	for _, c := range cases {
		verdict, skip := Accept(c.attempt, 5, c.from, c.position, c.count)
		assert.Equal(t, verdict, c.verdict, c.name)
		assert.Equal(t, skip, c.skip, c.name)
	}
}

// Guards against an answer that counts as complete although its end has the wrong
// token count.
func TestAcceptEnd(t *testing.T) {
	conn := Connection{1, "s"}
	attempt := Current{conn, true}
	assert.Equal(t, AcceptEnd(attempt, 5, conn, 5), Duplicate)
	assert.Equal(t, AcceptEnd(attempt, 5, conn, 6), Gap)
	assert.Equal(t, AcceptEnd(attempt, 5, conn, 4), Gap)
	assert.Equal(t, AcceptEnd(attempt, 5, Connection{0, "s"}, 5), Stale)
}

// Guards against an answer that is given up because one engine rejects its continuation,
// and against retries of a request that no engine has accepted.
func TestNextAfterARejection(t *testing.T) {
	cases := []struct {
		situation Situation
		want      Action
	}{
		{Situation{AlternativeReady: true}, GiveUp},
		{Situation{Tokens: 3, Shown: 3, AlternativeReady: true}, Continue},
		{Situation{Tokens: 3, Shown: 3}, Wait},
		{Situation{Tokens: 3, Shown: 3, AlternativeReady: true, Failures: MaxFailures}, GiveUp},
	}
	for _, c := range cases {
		c.situation.Loss = LossRejected
		assert.Equal(t, Next(c.situation), c.want, "%+v", c.situation)
	}
}

// Guards against an answer that mixes two versions: once the caller has seen a
// token, no loss may lead to a restart.
func TestNextNeverRestartsAShownAnswer(t *testing.T) {
	losses := []Loss{LossReset, LossTruncated, LossDial, LossSilence, LossStatus, LossBusy, LossVersion,
		LossNoStream, LossGap, LossWrongStream, LossLeaving, LossRejected}
	for _, loss := range losses {
		for _, other := range []bool{true, false} {
			s := Situation{Loss: loss, Tokens: 3, Shown: 1, AlternativeReady: other}
			assert.Assert(t, Next(s) != Restart, "%+v", s)
			s.CanReattach = true
			assert.Assert(t, Next(s) != Restart, "%+v", s)
		}
	}
}
