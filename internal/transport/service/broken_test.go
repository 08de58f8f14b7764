package service

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/call"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

// Guards against bytes that are no answer and reach the caller as one, against a call that
// counts as not run although the service may have run it, and against a call that net/http
// sends again.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for _, form := range rawhttp.BrokenAnswers() {
		for _, idempotent := range []bool{false, true} {
			s, err := form.Start(func(*http.Request) string { return "" }, "ok")
			assert.NilError(t, err)
			c := New()
			req := stampCall()
			req.Route.Idempotent = idempotent
			if form.NeedsUpload {
				req.Body = bytes.Repeat([]byte("a"), rawhttp.UploadBytes)
			}
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				got, err := c.Send(ctx, server{s}.upstream(), req)
				assert.Check(t, ctx.Err() == nil, "%s: the call waits for more bytes", form.Name)
				cancel()
				var sendErr *call.SendError
				assert.Check(t, errors.As(err, &sendErr) && sendErr.Sent, "%s, idempotent: %t: %v, status %d", form.Name, idempotent, err, got.Status)
			}
			assert.Check(t, s.Requests() == 2, "%s: %d requests", form.Name, s.Requests())
			assert.Check(t, s.Connections() >= 2, "%s: the connection is used again", form.Name)
			c.Close()
			assert.NilError(t, s.Close())
		}
	}
}
