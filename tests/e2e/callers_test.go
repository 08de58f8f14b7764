package e2e

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// streamBody is the format of a streaming request; its argument is max_tokens.
const streamBody = `{"model":"writer","prompt":"Write the history of each step.","max_tokens":%d,"seed":7,"stream":true}`

// TestCallers runs the tests that inject no faults, all on one cluster.
func TestCallers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, plan{instances: 2, engines: 2, services: 1, bodyBytes: 1 << 16, engineFlags: []string{"--token-time", "10ms"}})
	t.Run("group", func(t *testing.T) { // ends after its parallel subtests
		for name, test := range map[string]func(*testing.T, *cluster){
			"official client chat":        testChatClient,
			"official client completions": testCompletionsClient,
			"reconnect":                   testReconnect,
			"refusals":                    testRefusals,
			"half-closed caller":          testHalfClosedCaller,
		} {
			t.Run(name, func(t *testing.T) { t.Parallel(); test(t, c) })
		}
	})
}

func (c *cluster) client() openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+c.callerAddrs[0]+"/v1"), option.WithAPIKey("unused"), option.WithMaxRetries(0))
}

// Guards against answers that the official client cannot read: chat
// completions, whole and streamed, with content in parts, and refusals.
func testChatClient(t *testing.T, c *cluster) {
	ctx, client := context.Background(), c.client()
	params := openai.ChatCompletionNewParams{
		Model: modelName,
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("Be brief."),
			openai.UserMessage([]openai.ChatCompletionContentPartUnionParam{
				openai.TextContentPart("Write the history"), openai.TextContentPart(" of each step."),
			}),
		},
		Seed:                openai.Int(seed),
		MaxCompletionTokens: openai.Int(40),
	}
	want := expectedText("<|system|>\nBe brief.\n<|user|>\nWrite the history of each step.\n<|assistant|>\n", 40)
	answer, err := client.Chat.Completions.New(ctx, params)
	assert.NilError(t, err)
	assert.Equal(t, answer.Choices[0].Message.Content, want)
	assert.Equal(t, string(answer.Choices[0].Message.Role), "assistant")
	assert.Equal(t, answer.Choices[0].FinishReason, "length")
	assert.Equal(t, answer.Model, modelName)
	assert.Equal(t, answer.Usage.CompletionTokens, int64(40))

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var all openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Assert(t, all.AddChunk(stream.Current()), "chunk does not follow: %s", stream.Current().RawJSON())
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, all.Choices[0].Message.Content, want)
	assert.Equal(t, all.Choices[0].FinishReason, "length")

	params.Model = "absent"
	_, err = client.Chat.Completions.New(ctx, params)
	checkClientError(t, err)
	stream = client.Chat.Completions.NewStreaming(ctx, params)
	assert.Assert(t, !stream.Next())
	checkClientError(t, stream.Err())
}

func checkClientError(t *testing.T, err error) {
	t.Helper()
	var refused *openai.Error
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.StatusCode, http.StatusNotFound)
	assert.Equal(t, refused.Code, problem.CodeUnknownModel)
	assert.Assert(t, strings.Contains(refused.Message, `"absent"`), refused.Message)
	assert.Assert(t, refused.Response.Header.Get("X-Request-ID") != "")
}

// Guards against completions and refusals of them that the official client cannot
// read.
func testCompletionsClient(t *testing.T, c *cluster) {
	ctx, client := context.Background(), c.client()
	params := openai.CompletionNewParams{
		Model:     modelName,
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
		Seed:      openai.Int(seed),
		MaxTokens: openai.Int(40),
	}
	answer, err := client.Completions.New(ctx, params)
	assert.NilError(t, err)
	assert.Equal(t, answer.Choices[0].Text, expectedText(prompt, 40))
	stream := client.Completions.NewStreaming(ctx, params)
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Text)
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, text.String(), expectedText(prompt, 40))
	params.Model = "absent"
	_, err = client.Completions.New(ctx, params)
	checkClientError(t, err)
}

// Guards against events without an ID, and against a reconnect that repeats,
// leaves out or changes anything, on the same and on another instance.
func testReconnect(t *testing.T, c *cluster) {
	ctx, cancel := context.WithCancel(context.Background())
	resp := c.open(t, ctx, 0, http.MethodPost, "/v1/completions", fmt.Sprintf(streamBody, 120), nil)
	assert.Assert(t, resp != nil)
	begun := readEvents(t, resp.Body, 20)
	cancel()
	resp.Body.Close()
	tokens := 0
	for _, one := range begun {
		tokens += strings.Count(one.text, " ")
		prefix := resp.Header.Get("X-Request-ID") + "."
		assert.Assert(t, strings.HasPrefix(one.id, prefix) && strings.HasSuffix(one.id, fmt.Sprintf(".%d", tokens)), one.id)
	}
	last := begun[len(begun)-1].id
	for range 2 { // while the generation runs, and after its end
		for i := range c.callerAddrs {
			rest, status := c.resume(t, i, last)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, begun.text()+rest.text(), expectedText(prompt, 120))
			assert.Equal(t, rest[len(rest)-1].finish, "length")
			assert.Equal(t, rest[0].model, modelName, "instance %d", i)
		}
	}
	resumed := c.open(t, context.Background(), 1, http.MethodPost, "/v1/chat/completions", "", map[string]string{"Last-Event-ID": last})
	assert.Equal(t, resumed.Header.Get("X-Request-ID"), resp.Header.Get("X-Request-ID"))
	resumed.Body.Close()
}

// Guards against refusals without a stable code, a status, a correct outcome or a
// request ID, and against answers without a request ID.
func testRefusals(t *testing.T, c *cluster) {
	const completions, generate = "/v1/completions", `{"model":"writer","prompt":"x","max_tokens":1}`
	lastID := func(id string) map[string]string { return map[string]string{"Last-Event-ID": id} }
	request := "i0-" + strings.Repeat("A", 26)
	tests := []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		code                     string // empty: no refusal
		outcome                  model.Outcome
	}{
		{"body too large", "POST", completions, `{"prompt":"` + strings.Repeat("x", 1<<17) + `"}`, nil, 413, "body_too_large", "not_run"},
		{"call body too large", "POST", "/bookings", strings.Repeat("x", 1<<17), map[string]string{"Idempotency-Key": "k"}, 413, "body_too_large", "not_run"},
		{"broken JSON", "POST", completions, `{"model":`, nil, 400, "invalid_request", "not_run"},
		{"no body", "POST", "/v1/chat/completions", ``, nil, 400, "invalid_request", "not_run"},
		{"field of a wrong type", "POST", completions, `{"model":3}`, nil, 400, "invalid_request", "not_run"},
		{"unknown model", "POST", completions, `{"model":"absent","prompt":"x"}`, nil, 404, "unknown_model", "not_run"},
		{"timeout of a wrong form", "POST", completions, generate, map[string]string{"X-Request-Timeout-Ms": "soon"}, 400, "invalid_request", "not_run"},
		{"method of completions", "GET", completions, ``, nil, 405, "method_not_allowed", "not_run"},
		{"method of a reconnect", "DELETE", completions, ``, lastID(request + ".L.1"), 405, "method_not_allowed", "not_run"},
		{"method of endpoints", "POST", "/v1/endpoints", ``, nil, 405, "method_not_allowed", "not_run"},
		{"method of explain", "DELETE", "/debug/requests/" + request, ``, nil, 405, "method_not_allowed", "not_run"},
		{"unknown route", "GET", "/absent", ``, nil, 404, "unknown_route", "not_run"},
		{"method of a route", "PUT", "/bookings", ``, nil, 404, "unknown_route", "not_run"},
		{"no key", "POST", "/bookings", `{}`, nil, 400, "idempotency_key_required", "not_run"},
		{"key too long", "POST", "/bookings", `{}`, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "idempotency_key_invalid", "not_run"},
		{"event ID without parts", "POST", completions, generate, lastID("17"), 400, "invalid_request", "not_run"},
		{"event ID with a bad position", "POST", completions, ``, lastID(request + ".L.-1"), 400, "invalid_request", "not_run"},
		{"event ID of no instance", "POST", completions, ``, lastID("x.L.1"), 400, "invalid_request", "not_run"},
		{"event ID of an unknown request", "POST", completions, ``, lastID(request + ".L.1"), 503, "continuation_unavailable", "unknown"},
		{"unknown request", "GET", "/debug/requests/" + request, ``, nil, 404, "unknown_request", "not_run"},
		{"whole answer", "POST", completions, generate, nil, 200, "", ""},
		{"idempotent call", "GET", "/records", ``, nil, 200, "", ""},
		{"endpoints", "GET", "/v1/endpoints", ``, nil, 200, "", ""},
		{"health", "GET", "/healthz", ``, nil, 200, "", ""},
		{"readiness", "GET", "/readyz", ``, nil, 200, "", ""},
		{"metrics", "GET", "/metrics", ``, nil, 200, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := c.request(t, 0, test.method, test.path, test.body, test.header)
			assert.Equal(t, got.status, test.status, "%s", got.body)
			assert.Equal(t, got.code(), test.code, "%s", got.body)
			id := got.header.Get("X-Request-ID")
			assert.Assert(t, id != "", "no X-Request-ID")
			if test.code == "" {
				return
			}
			named, refusal, err := problem.Decode(got.header, got.body)
			assert.NilError(t, err)
			assert.Equal(t, string(named), id)
			assert.Equal(t, refusal.Outcome, test.outcome)
			assert.Equal(t, got.header.Get("Content-Type"), "application/json")
			assert.Assert(t, refusal.Message != "")
		})
	}
}

// Guards against a completion without text, or a stream that ends as complete before its
// last event, for a caller that closed its sending side, which net/http takes for a
// disconnect.
func testHalfClosedCaller(t *testing.T, c *cluster) {
	for _, body := range []string{fmt.Sprintf(streamBody, 200), strings.ReplaceAll(fmt.Sprintf(streamBody, 200), `"stream":true`, `"stream":false`)} {
		req, err := http.NewRequest(http.MethodPost, "http://"+c.callerAddrs[0]+"/v1/completions", strings.NewReader(body))
		assert.NilError(t, err)
		conn, err := net.Dial("tcp", c.callerAddrs[0])
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		assert.NilError(t, req.Write(conn))
		time.Sleep(300 * time.Millisecond) // the generation has begun and takes 2 s
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		if err == nil {
			var text []byte
			text, err = io.ReadAll(resp.Body)
			assert.Check(t, err != nil, "%s: status %d and %d bytes count as complete", body, resp.StatusCode, len(text))
		}
		assert.Check(t, conn.Close())
	}
}
