package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
	"gotest.tools/v3/assert"
)

// engineText is in the bodies of answers that must not reach the caller of a stream.
const engineText = "the engine's text"

// Guards against the answer of a worker that does not continue a broken stream: its head
// or body in the middle of the caller's stream, or a stream that ends as complete.
func TestEdgeStreamOutlivesFailedResumes(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 1)
	e.publishRules()
	e.awaitReady()
	answers := map[string]fleet.ResumeAnswer{
		"400":                {Status: 400, Type: "text/plain", Body: engineText},
		"204":                {Status: 204},
		"206":                {Status: 206, Type: "text/event-stream", Body: "id: 30\ndata: x\n\n"},
		"500":                {Status: 500, Type: "text/plain", Body: engineText},
		"empty, no length":   {Status: 200, Type: "text/event-stream", NoLength: true},
		"200, not events":    {Status: 200, Type: "application/json", Body: `{"error":"` + engineText + `"}`},
		"repeats, no length": {Status: 200, Type: "text/event-stream", Body: "id: 9\ndata: x\n\n", NoLength: true},
		"repeats":            {Status: 200, Type: "text/event-stream", Body: "id: 9\ndata: x\n\n"},
	}
	for name, answer := range answers {
		for _, sent := range []int{1, 4} { // 4 answers use up the attempts that the route allows
			req := e.request(0, "POST", "/log/1")
			id := req.Header.Get("X-Attempt-Id")
			fault := fleet.StreamFault{BreakAfter: 10}
			for range sent {
				fault.ResumeAnswers = append(fault.ResumeAnswers, answer)
			}
			e.fleet.FailStream(id, fault)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				resp, err := http.DefaultClient.Do(req)
				assert.NilError(t, err)
				body, err := io.ReadAll(resp.Body)
				assert.Check(t, resp.Body.Close())
				assert.Equal(t, e.fleet.ResumeAnswersLeft(id), 0)
				if sent == 1 {
					assert.NilError(t, err)
					assert.Equal(t, string(body), wantStream(id, 60))
					return
				}
				assert.Assert(t, err != nil, "the response looks complete: %q", body)
				assert.Assert(t, strings.HasPrefix(wantStream(id, 10), string(body)), "%q", body)
			})
		}
	}
}
