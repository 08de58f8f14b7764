package callerclient

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

// Guards against measurements that count bytes as an answer that are none.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for _, form := range rawhttp.BrokenAnswers() {
		s, err := form.Start(func(*http.Request) string { return "" }, `{"endpoints":[{"address":"127.0.0.1:1"}]}`)
		assert.NilError(t, err)
		c := New("", s.Address())
		body := []byte("a")
		if form.NeedsUpload {
			body = bytes.Repeat(body, rawhttp.UploadBytes)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		got, err := c.Call(ctx, s.Address(), "/call", "", body)
		assert.Check(t, err != nil, "call: %s: %+v", form.Name, got)
		if !form.NeedsUpload { // a request for endpoints has no body
			_, err = c.Endpoints(ctx, s.Address())
			assert.Check(t, err != nil, "endpoints: %s", form.Name)
		}
		assert.Check(t, ctx.Err() == nil, "%s: a call waits for more bytes", form.Name)
		cancel()
		c.http.CloseIdleConnections()
		assert.NilError(t, s.Close())
	}
}

// Guards against a call without a body that is refused as one of unknown length.
func TestCallsMayHaveNoBody(t *testing.T) {
	s, err := rawhttp.Start(rawhttp.Text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	assert.NilError(t, err)
	defer func() { _ = s.Close() }()
	got, err := New("", s.Address()).Call(t.Context(), s.Address(), "/call", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.Body, "ok")
}
