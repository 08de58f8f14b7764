package forwardwire

import (
	"net/http"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

func testNames() Names {
	return Names{
		Request: "X-Req", TimeLeft: "X-Left", CredentialScheme: "Token", LastEvent: "Last-Event-Id", Tokens: "X-Tokens",
		PromptParts: "X-Parts", Organisation: "X-Org", ExpectedUpstream: "X-Expect", NotRun: "X-Not-Run", Leaving: "X-Leaving", Pause: "Retry-After", Answering: "X-Id", CopyTo: "X-Copy-To",
		CopyFrom: "Copy-From", SystemOnly: []string{"X-Rank"},
	}
}

func header(pairs ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(pairs); i += 2 {
		h.Add(pairs[i], pairs[i+1])
	}
	return h
}

// Guards against forwarding a caller's fields that upstreams trust to come from this
// system, and against a caller's credential reaching an upstream.
func TestReservedFieldsOfCallersAreDropped(t *testing.T) {
	in := header("X-Req", "r1", "X-Org", "other", "X-Expect", "u", "X-Copy-To", "a", "Copy-From", "b", "X-Rank", "0",
		"Authorization", "Token key", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "1")
	req, err := testNames().DecodeRequest(in, time.Now())
	assert.NilError(t, err)
	assert.Equal(t, req.Credential, "key")
	assert.DeepEqual(t, req.Header, forward.Header{"X-Req": {"r1"}, "X-Kept": {"1"}})
}

// Guards against malformed fields that are decoded as zero, and against an error that
// does not name the field.
func TestMalformedFieldsAreNamed(t *testing.T) {
	for _, c := range []struct{ name, value string }{
		{"X-Left", "soon"}, {"X-Left", "-1"}, {"Last-Event-Id", "x"}, {"X-Tokens", "5"}, {"X-Tokens", "5,-1"}, {"X-Parts", "a"}, {"X-Parts", "a:b"},
	} {
		_, err := testNames().DecodeRequest(header(c.name, c.value), time.Now())
		assert.ErrorContains(t, err, c.name)
	}
}

// Guards against a header that gives the upstream more time than is left, or that
// does not name the only upstream that may run the request.
func TestSendHeader(t *testing.T) {
	now := time.Now()
	out := testNames().EncodeSend(forward.Send{
		Upstream:     model.Upstream{ID: "u1"},
		Request:      &forward.Request{ID: "r1", Header: forward.Header{"X-Left": {"9000"}, "X-Kept": {"1"}}},
		Organisation: "org",
		Deadline:     now.Add(1500 * time.Millisecond),
		LastPosition: 7,
		CopyTo:       "10.0.0.2:1",
		ResumeFrom:   &forward.CopySource{Address: "10.0.0.3:1", ID: "r1"},
	}, now)
	assert.DeepEqual(t, out, http.Header{
		"X-Req": {"r1"}, "X-Expect": {"u1"}, "X-Org": {"org"}, "X-Left": {"1500"}, "Last-Event-Id": {"7"}, "X-Copy-To": {"10.0.0.2:1"},
		"Copy-From": {"10.0.0.3:1/r1"}, "X-Kept": {"1"}, "User-Agent": {""},
	})
}

// Guards against accepting an answer to another request, and against taking a refusal
// for a run of the request or a run for a refusal.
func TestJudgeClassifiesAnswers(t *testing.T) {
	cases := []struct {
		name   string
		status int
		header http.Header
		want   Verdict
	}{
		{"own answer", 200, header("X-Req", "r1"), Verdict{Own: true}},
		{"answer to another request", 200, header("X-Req", "r2"), Verdict{}},
		{"nameless answer", 200, header(), Verdict{}},
		{"full", 503, header("X-Not-Run", "1"), Verdict{Own: true, NotRun: true}},
		{"leaving", 200, header("X-Req", "r1", "X-Leaving", "1"), Verdict{Own: true, Leaving: true}},
		{"not leaving", 200, header("X-Req", "r1", "X-Leaving", "0"), Verdict{Own: true}},
		{"pause", 503, header("X-Not-Run", "1", "Retry-After", "1.5"), Verdict{Own: true, NotRun: true, Pause: 1500 * time.Millisecond}},
		{"no pause", 503, header("X-Not-Run", "1", "Retry-After", "0"), Verdict{Own: true, NotRun: true}},
		{"pause of another status", 429, header("X-Not-Run", "1", "Retry-After", "3"), Verdict{Own: true, NotRun: true}},
		{"pause without end", 503, header("X-Not-Run", "1", "Retry-After", "1e300"), Verdict{Own: true, NotRun: true, Pause: maxPause, BadPause: "1e300"}},
		{"pause out of range", 503, header("X-Not-Run", "1", "Retry-After", "1e400"), Verdict{Own: true, NotRun: true, Pause: maxPause, BadPause: "1e400"}},
		{"infinite pause", 503, header("X-Not-Run", "1", "Retry-After", "Inf"), Verdict{Own: true, NotRun: true, Pause: maxPause, BadPause: "Inf"}},
		{"negative pause", 503, header("X-Not-Run", "1", "Retry-After", "-3"), Verdict{Own: true, NotRun: true, BadPause: "-3"}},
		{"pause that is no number", 503, header("X-Not-Run", "1", "Retry-After", "NaN"), Verdict{Own: true, NotRun: true, BadPause: "NaN"}},
		{"pause in words", 503, header("X-Not-Run", "1", "Retry-After", "soon"), Verdict{Own: true, NotRun: true, BadPause: "soon"}},
		{"503 of a run", 503, header("X-Req", "r1"), Verdict{Own: true, Invalid: "status 503 without the mark that the request has not run"}},
		{"429 of a run", 429, header("X-Req", "r1"), Verdict{Own: true, Invalid: "status 429 without the mark that the request has not run"}},
		{"408 of a run", 408, header("X-Req", "r1"), Verdict{Own: true, Invalid: "status 408 without the mark that the request has not run"}},
		{"500 of a run", 500, header("X-Req", "r1"), Verdict{Own: true}},
		{"success that has not run", 200, header("X-Req", "r1", "X-Not-Run", "1"), Verdict{Own: true, NotRun: true, Invalid: "status 200 of a request that has not run"}},
		{"status out of range", 999, header("X-Req", "r1"), Verdict{Own: true, Invalid: "status 999 is not that of an answer"}},
		{"address reused", 421, header("X-Id", "u2"), Verdict{Own: true, NotRun: true, Elsewhere: true, Answering: "u2"}},
	}
	for _, c := range cases {
		assert.Equal(t, testNames().Judge("r1", false, c.status, c.header), c.want, c.name)
	}
}

// Guards against an answer on a kept connection that counts as the request's own although
// it may be a repeated one to an earlier request.
func TestAnswersOnKeptConnectionsMustNameTheRequest(t *testing.T) {
	for _, c := range []struct {
		id     model.RequestID
		status int
		header http.Header
		own    bool
	}{
		{"r1", 503, header("X-Not-Run", "1"), false},
		{"r1", 421, header("X-Id", "u2"), false},
		{"r1", 503, header("X-Not-Run", "1", "X-Req", "r2"), false},
		{"r1", 503, header("X-Not-Run", "1", "X-Req", "r1", "X-Req", "r2"), false},
		{"r1", 503, header("X-Not-Run", "1", "X-Req", "r1"), true},
		{"r1", 421, header("X-Id", "u2", "X-Req", "r1"), true},
		{"", 200, header(), false},
		{"", 503, header("X-Not-Run", "1"), false},
	} {
		assert.Equal(t, testNames().Judge(c.id, true, c.status, c.header).Own, c.own, "%q: %d %v", c.id, c.status, c.header)
	}
	assert.Assert(t, testNames().Judge("", false, 200, header()).Own)
}

// Guards against a caller's fields that crash the decoder, or that decode to a request
// whose header cannot be encoded.
func FuzzDecodeRequest(f *testing.F) {
	f.Add("r", "100", "Token k", "3", "5000,800", "a:1,b:2")
	f.Add("", "9223372036854775807", "Token", "", "1,1", ":")
	f.Fuzz(func(t *testing.T, id, left, credential, event, tokens, parts string) {
		now := time.Now()
		in := header("X-Req", id, "X-Left", left, "Authorization", credential, "Last-Event-Id", event, "X-Tokens", tokens, "X-Parts", parts)
		req, err := testNames().DecodeRequest(in, now)
		if err != nil {
			return
		}
		assert.Assert(t, req.Deadline.IsZero() || !req.Deadline.Before(now))
		assert.Assert(t, req.Work.PromptTokens >= 0 && req.Work.OutputTokens >= 0)
		testNames().EncodeSend(forward.Send{Request: req, Deadline: req.Deadline}, now)
	})
}
