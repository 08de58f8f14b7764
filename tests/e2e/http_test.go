package e2e

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/tmaxmax/go-sse"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/engine"
)

// reply is an answer that was read to its end.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	refusal *model.Refusal // nil if the body is not an error body
}

func (r reply) code() string {
	if r.refusal == nil {
		return ""
	}
	return r.refusal.Code
}

// request sends one request to an instance and reads the answer. It may be
// called from any goroutine: it reports failures with t.Error and not with
// t.Fatal.
func (c *cluster) request(t testing.TB, instance int, method, path, body string, header map[string]string) reply {
	t.Helper()
	resp := c.open(t, context.Background(), instance, method, path, body, header)
	if resp == nil {
		return reply{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	r := reply{status: resp.StatusCode, header: resp.Header, body: text}
	if _, refusal, err := problem.Decode(resp.Header, text); err == nil {
		r.refusal = refusal
	}
	return r
}

func (c *cluster) post(t testing.TB, instance int, path, body string, header map[string]string) reply {
	t.Helper()
	return c.request(t, instance, http.MethodPost, path, body, header)
}

func (c *cluster) open(t testing.TB, ctx context.Context, instance int, method, path, body string, header map[string]string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.callerAddrs[instance]+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return nil
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return nil
	}
	return resp
}

// event is one server-sent event of a completion.
type event struct {
	id, text, model, finish string
}

type events []event

func (e events) text() string {
	var b strings.Builder
	for _, one := range e {
		b.WriteString(one.text)
	}
	return b.String()
}

// readEvents reads up to limit events of a stream, or all if limit is 0.
func readEvents(t testing.TB, body io.Reader, limit int) events {
	t.Helper()
	var got events
	for one, err := range sse.Read(body, nil) {
		assert.NilError(t, err)
		if one.Data == "[DONE]" {
			return got
		}
		assert.Equal(t, one.Type, "", "%s", one.Data)
		var chunk struct {
			Model   string
			Choices []struct {
				Text         string
				FinishReason string `json:"finish_reason"`
			}
		}
		assert.NilError(t, json.Unmarshal([]byte(one.Data), &chunk), one.Data)
		got = append(got, event{one.LastEventID, chunk.Choices[0].Text, chunk.Model, chunk.Choices[0].FinishReason})
		if len(got) == limit {
			return got
		}
	}
	t.Error("the stream has no end")
	return got
}

// resume reads the events of a generation after the one with the ID last.
func (c *cluster) resume(t testing.TB, instance int, last string) (events, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	resp := c.open(t, ctx, instance, http.MethodGet, "/v1/completions", "", map[string]string{"Last-Event-ID": last})
	assert.Assert(t, resp != nil)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, resp.StatusCode
	}
	return readEvents(t, resp.Body, 0), resp.StatusCode
}

// expectedText returns the text that engines without noise generate.
func expectedText(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(engine.Token(version, prompt, seed, i))
	}
	return b.String()
}
