package engine

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"

	"gotest.tools/v3/assert"
)

// recorder counts the tokens and the ends that a stream reports.
type recorder struct {
	tokens int
	ended  int
}

func (r *recorder) Tokens(_ string, _ int, tokens []string)     { r.tokens += len(tokens) }
func (r *recorder) Ended(string, int, string)                   { r.ended++ }
func (r *recorder) Lost(continuation.Loss, continuation.Detail) {}

// Guards against a stream of an engine that crashes its reader, or that counts
// as complete without an end.
func FuzzReadStream(f *testing.F) {
	const chunk = `data: {"id":"s","choices":[{"position":0,"tokens":["a","b"]}]}` + "\n\n"
	const end = `data: {"id":"s","choices":[{"position":2,"finish_reason":"stop"}]}` + "\n\n"
	f.Add([]byte(chunk + end + "data: [DONE]\n\n"))
	f.Add([]byte(chunk))
	f.Add([]byte("event: leaving\ndata: {\"deadline_ms\":9223372036854775807}\n\n" + chunk))
	f.Add([]byte(`data: {"id":"s","choices":[{"position":-9223372036854775808,"tokens":["a"]}]}` + "\n\n"))
	f.Add([]byte(`data: {"choices":[{"position":9223372036854775807,"tokens":["a"],"finish_reason":"stop"}]}` + "\n\n"))
	f.Add([]byte(`data: {"choices":[]}` + "\n\n"))
	f.Add([]byte("data: " + strings.Repeat("[", 20_000) + "\n\n"))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		var got recorder
		loss, detail := readStream(bytes.NewReader(body), &got)
		assert.Assert(t, loss == "" || detail != (continuation.Detail{}), loss)
		if loss == "" {
			assert.Assert(t, got.ended > 0)
		}
	})
}
