package openai

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an invalid request that is accepted, and against an error that does
// not name the invalid field.
func TestBadRequestsNameTheField(t *testing.T) {
	cases := []struct {
		body, field string
		chat        bool
	}{
		{`{`, "body", true},
		{`{"model":"m"}`, "messages", true},
		{`{"model":"m","messages":[{"role":"user","content":7}]}`, "messages[0].content", true},
		{`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "messages[0].content", true},
		{`{"messages":[{"role":"user","content":"x"}]}`, "model", true},
		{`{"model":"m","prompt":""}`, "prompt", false},
		{`{"model":"m","prompt":["a","b"]}`, "prompt", false},
		{`{"model":"m","prompt":"x","max_tokens":0}`, "max_tokens", false},
		{`{"model":"m","prompt":"x","temperature":2.5}`, "temperature", false},
		{`{"model":"m","prompt":"x","top_p":0}`, "top_p", false},
		{`{"model":"m","prompt":"x","stop":{}}`, "stop", false},
		{`{"model":"m","prompt":"x","n":2}`, "n", false},
	}
	for _, c := range cases {
		_, _, err := Decode([]byte(c.body), c.chat)
		var wrong *RequestError
		assert.Assert(t, errors.As(err, &wrong), "%s: %v", c.body, err)
		assert.Equal(t, wrong.Field, c.field, c.body)
	}
}

// Guards against text parts of messages that are lost or reordered.
func TestChatPromptKeepsAllText(t *testing.T) {
	body := `{"model":"m","messages":[{"role":"system","content":"one"},
		{"role":"user","content":[{"type":"text","text":"two "},{"type":"text","text":"three"}]}]}`
	spec, streamed, err := Decode([]byte(body), true)
	assert.NilError(t, err)
	assert.Assert(t, !streamed)
	assert.Equal(t, spec.Prompt, "<|system|>\none\n<|user|>\ntwo three\n<|assistant|>\n")
	assert.Equal(t, spec.Sampling.MaxTokens, defaultMaxTokens)
}

// Guards against a body that crashes the decoder or exceeds its limits.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","stop":["a"],"max_tokens":5}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`), true)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"n":null}`), true)
	f.Add([]byte(strings.Repeat("[", 100)), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		spec, _, err := Decode(body, chat)
		if err != nil {
			return
		}
		assert.Assert(t, spec.Prompt != "" && spec.Model != "")
		assert.Assert(t, spec.Sampling.MaxTokens >= 1 && spec.Sampling.MaxTokens <= maxTokensLimit)
	})
}
