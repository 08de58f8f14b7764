package forward

import (
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against a second head in a response, whatever path of the request's handling
// ends with an answer or a refusal.
func TestResponseThatHasBegunIsAborted(t *testing.T) {
	for name, finish := range map[string]func(p *response) bool{
		"answer":  func(p *response) bool { return p.answer(Answer{Status: 400}) },
		"refusal": func(p *response) bool { return p.refuse(&model.Refusal{Code: codeOverloaded}) },
	} {
		t.Run(name, func(t *testing.T) {
			begun := &fakeReply{}
			p := response{reply: begun}
			p.events(200, Header{"From": {"first"}}, []byte("id: 1\n\n"))
			assert.Assert(t, !finish(&p))
			assert.Assert(t, begun.broken && begun.answer == nil && begun.refused == nil && !begun.ended)
			assert.Equal(t, len(begun.heads), 1)
			fresh := &fakeReply{}
			assert.Assert(t, finish(&response{reply: fresh}))
			assert.Assert(t, !fresh.broken && (fresh.answer != nil || fresh.refused != nil))
		})
	}
}
