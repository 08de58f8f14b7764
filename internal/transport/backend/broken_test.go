package backend

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

// startForm starts an upstream that answers with the form.
func startForm(t *testing.T, form rawhttp.Form, body string) *rawhttp.Server {
	t.Helper()
	s, err := form.Start(func(req *http.Request) string { return "X-Req: " + req.Header.Get("X-Req") + "\r\n" }, body)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// startRefusing starts an upstream that answers with the form and the mark that the request
// has not run.
func startRefusing(t *testing.T, form rawhttp.Form) *rawhttp.Server {
	t.Helper()
	s, err := form.WithStatus("503 Service Unavailable").Start(func(req *http.Request) string {
		return "X-Not-Run: 1\r\nX-Req: " + req.Header.Get("X-Req") + "\r\n"
	}, "full")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// Guards against a request that counts as not run by bytes that are no answer: it would be
// sent again although the upstream may have run it.
func TestBrokenRefusalsAreLosses(t *testing.T) {
	for _, form := range rawhttp.BrokenAnswers() {
		for _, stream := range []bool{false, true} {
			client := keptClient()
			got := sendConnected(client, formCall(form, startRefusing(t, form).Address(), "r1", stream, false))
			assert.Check(t, got.loss != "" && got.sent, "%s, stream: %t: %+v", form.Name, stream, got.answer)
			client.Close()
		}
	}
	for _, form := range rawhttp.SurplusAnswers() {
		client := keptClient()
		got := sendConnected(client, formCall(form, startRefusing(t, form).Address(), "r1", false, false))
		assert.Check(t, got.answer != nil && got.answer.NotRun, "%s: %+v", form.Name, got)
		client.Close()
	}
}

// formCall returns a call or stream to a server of startForm.
func formCall(form rawhttp.Form, address, id string, stream, reuse bool) forward.Send {
	s := callTo(address, id)
	s.Stream, s.ReuseConnection = stream, reuse
	if form.NeedsUpload {
		s.Request.Body = bytes.Repeat([]byte("a"), rawhttp.UploadBytes)
	}
	return s
}

// Guards against bytes that are no answer and reach the caller as one, and against a call
// that counts as not run although the upstream may have run it.
func TestBrokenAnswersAreLosses(t *testing.T) {
	for _, form := range rawhttp.BrokenAnswers() {
		for _, stream := range []bool{false, true} {
			for _, reuse := range []bool{false, true} {
				upstream := startForm(t, form, "id: 1\ndata: a\n\n")
				client := keptClient()
				for _, id := range []string{"r1", "r2"} {
					got := sendConnected(client, formCall(form, upstream.Address(), id, stream, reuse))
					assert.Check(t, got.loss != "" && got.sent, "%s, stream: %t, kept: %t: %+v", form.Name, stream, reuse, got)
				}
				assert.Check(t, upstream.Connections() >= 2, "%s: the connection is used again", form.Name)
				assert.Check(t, upstream.Requests() == 2, "%s: %d requests, sent again by net/http", form.Name, upstream.Requests())
				client.Close()
			}
		}
	}
}

// Guards against a complete answer that is lost with the bytes behind it, and against a
// further request on its connection, which would fail with them.
func TestAnswersWithSurplusAreComplete(t *testing.T) {
	for _, form := range rawhttp.SurplusAnswers() {
		for _, stream := range []bool{false, true} {
			for _, body := range []string{"id: 1\ndata: a\n\n", ""} {
				upstream := startForm(t, form, body)
				client := keptClient()
				for i, id := range []string{"r1", "r2", "r3"} {
					got := sendConnected(client, formCall(form, upstream.Address(), id, stream, true))
					assert.Check(t, got.loss == "", "%s, stream: %t: %+v", form.Name, stream, got)
					if !stream && got.answer != nil {
						assert.Equal(t, string(got.answer.Body), body)
					}
					assert.Check(t, upstream.Connections() == int32(i+1), "%s: the connection is used again", form.Name)
				}
				client.Close()
			}
		}
	}
}

// Guards against sound answers that count as broken: without a length, to requests that are
// short, or long and read whole before the answer.
func TestAnswersWithoutLengthOfSoundUpstreamsAreComplete(t *testing.T) {
	for _, size := range []int{0, 4, 5000, 1 << 20} {
		upstream := startUpstream(t, rawhttp.Text("HTTP/1.1 200 OK\r\nX-Req: r1\r\n\r\nok"))
		client := keptClient()
		for range 20 {
			s := callTo(upstream.Address(), "r1")
			s.Request.Body = bytes.Repeat([]byte("a"), size)
			got := sendConnected(client, s)
			assert.Assert(t, got.answer != nil && string(got.answer.Body) == "ok", "%d bytes: %+v", size, got)
		}
		client.Close()
	}
}

// Guards against engine calls and probes that take bytes for an answer that are none.
func TestBrokenAnswersOfEngineCallsAreErrors(t *testing.T) {
	engine := EngineAPI{
		StatePath:   "/state",
		DecodeState: func([]byte) (forward.EngineState, error) { return forward.EngineState{}, nil },
		CopyPath:    "/copy",
		DecodeCopy:  func([]byte) (string, error) { return "handle", nil },
	}
	for _, form := range rawhttp.BrokenAnswers() {
		size := 2
		if form.NeedsUpload {
			size = rawhttp.UploadBytes
		}
		engine.EncodeCopy = func(model.RequestID, string) ([]byte, error) { return bytes.Repeat([]byte("a"), size), nil }
		up := model.Upstream{ID: "u", Address: startForm(t, form, "{}").Address()}
		client := New(forwardwire.Names{Request: "X-Req"}, engine)
		result := make(chan error, 1)
		client.RequestCopy(up, "r1", model.Upstream{ID: "v"}, 5*time.Second, func(_ string, err error) { result <- err })
		assert.Check(t, <-result != nil, "copy: %s", form.Name)
		if !form.NeedsUpload { // a probe has no body
			client.Probe(up, 5*time.Second, func(_ forward.EngineState, err error) { result <- err })
			assert.Check(t, <-result != nil, "probe: %s", form.Name)
		}
		client.Close()
	}
}

// Guards against a request that counts as not run by a refusal whose body is no body, and
// against sound refusals that no longer count because their body is cut or too large.
func TestRefusalsWithBrokenBodies(t *testing.T) {
	const marked = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Req: r1\r\n"
	const chunked = marked + "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		answer string
		notRun bool
	}{
		"size of a chunk is no number": {chunked + "4\r\nfull\r\nzz\r\n", false},
		"chunk without a line end":     {chunked + "4\r\nfullfull\r\n0\r\n\r\n", false},
		"size of a chunk is too long":  {chunked + "00000000000000001\r\nf\r\n0\r\n\r\n", false},
		"trailer without a colon":      {chunked + "4\r\nfull\r\n0\r\nxyz\r\n\r\n", false},
		"cut within its length":        {marked + "Content-Length: 40\r\n\r\nfull", true},
		"cut between chunks":           {chunked + "4\r\nfull\r\n", true},
		"larger than an answer may be": {marked + "\r\n" + strings.Repeat("a", maxAnswerBytes+1), true},
		"whole, with a length":         {marked + "Content-Length: 4\r\n\r\nfull", true},
		"whole, in chunks":             {chunked + "4\r\nfull\r\n0\r\n\r\n", true},
	} {
		for _, stream := range []bool{false, true} {
			client := keptClient()
			s := callTo(startUpstream(t, rawhttp.Text(c.answer)).Address(), "r1")
			s.Stream, s.ReuseConnection = stream, false
			got := sendConnected(client, s)
			client.Close()
			if !c.notRun {
				assert.Check(t, got.loss == continuation.LossTruncated && got.sent, "%s, stream: %t: %+v", name, stream, got)
				continue
			}
			if got.answer == nil || !got.answer.NotRun {
				t.Errorf("%s, stream: %t: loss %q", name, stream, got.loss)
				continue
			}
			want := ""
			if strings.HasPrefix(name, "whole") {
				want = "full"
			}
			assert.Check(t, string(got.answer.Body) == want, "%s, stream: %t: %d bytes", name, stream, len(got.answer.Body))
		}
	}
}
