// Package openai decodes requests and encodes replies of the OpenAI-compatible caller
// API: chat completions and completions, each streamed or in one response.
package openai

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Limits and defaults of a request.
const (
	maxTokensLimit     = 131_072
	defaultMaxTokens   = 1024
	defaultTemperature = 1.0
	defaultTopP        = 1.0
)

// RequestError reports an invalid field of a request.
type RequestError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("field %q: %s", e.Field, e.Reason)
}

// Message is one chat message.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"` // a string, or a list of text parts
}

// Request is the body of a chat completion or a completion.
type Request struct {
	Model               string          `json:"model"`
	Messages            []Message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"` // a string, or a list with one string
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	Seed                *int64          `json:"seed"`
	Stop                json.RawMessage `json:"stop"` // a string, or a list of strings
	N                   *int            `json:"n"`
	ServiceTier         string          `json:"service_tier"` // "flex" is batch priority
	Adapter             string          `json:"adapter"`      // not in the OpenAI API
}

// Decode decodes a request body, of a chat completion if chat is set. It also returns
// whether the reply is to be streamed. The caller sets the request ID, organisation
// and deadline of the result.
func Decode(body []byte, chat bool) (model.GenerationSpec, bool, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return model.GenerationSpec{}, false, &RequestError{"body", "not valid JSON: " + err.Error()}
	}
	prompt, err := r.promptText(chat)
	if err != nil {
		return model.GenerationSpec{}, false, err
	}
	sampling, err := r.sampling()
	if err != nil {
		return model.GenerationSpec{}, false, err
	}
	if r.Model == "" {
		return model.GenerationSpec{}, false, &RequestError{"model", "must not be empty"}
	}
	if r.N != nil && *r.N != 1 {
		return model.GenerationSpec{}, false, &RequestError{"n", "must be 1"}
	}
	spec := model.GenerationSpec{
		Model:    r.Model,
		Adapter:  r.Adapter,
		Prompt:   prompt,
		Sampling: sampling,
		Priority: model.PriorityInteractive,
	}
	if r.ServiceTier == "flex" {
		spec.Priority = model.PriorityBatch
	}
	return spec, r.Stream, nil
}

func (r *Request) promptText(chat bool) (string, error) {
	if chat {
		return chatPrompt(r.Messages)
	}
	texts, err := stringOrList(r.Prompt)
	if err != nil || len(texts) != 1 || texts[0] == "" {
		return "", &RequestError{"prompt", "must be a text that is not empty"}
	}
	return texts[0], nil
}

// chatPrompt renders messages as one prompt. Each message follows a marker with its
// role.
func chatPrompt(messages []Message) (string, error) {
	if len(messages) == 0 {
		return "", &RequestError{"messages", "must not be empty"}
	}
	var b strings.Builder
	for i, m := range messages {
		text, err := contentText(m.Content)
		if err != nil {
			return "", &RequestError{fmt.Sprintf("messages[%d].content", i), "must be a text or a list of text parts"}
		}
		fmt.Fprintf(&b, "<|%s|>\n%s\n", m.Role, text)
	}
	b.WriteString("<|assistant|>\n")
	return b.String(), nil
}

func contentText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("content part of type %q is not supported", p.Type)
		}
		text += p.Text
	}
	return text, nil
}

func stringOrList(raw json.RawMessage) ([]string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return []string{one}, nil
	}
	var list []string
	err := json.Unmarshal(raw, &list)
	return list, err
}

func (r *Request) sampling() (model.Sampling, error) {
	s := model.Sampling{
		Temperature: valueOr(r.Temperature, defaultTemperature),
		TopP:        valueOr(r.TopP, defaultTopP),
		Seed:        valueOr(r.Seed, 0),
		MaxTokens:   valueOr(r.MaxCompletionTokens, valueOr(r.MaxTokens, defaultMaxTokens)),
	}
	stop, err := stringOrList(r.Stop)
	if err != nil {
		return s, &RequestError{"stop", "must be a text or a list of texts"}
	}
	s.Stop = stop
	switch {
	case s.MaxTokens < 1 || s.MaxTokens > maxTokensLimit:
		return s, &RequestError{"max_tokens", fmt.Sprintf("must be between 1 and %d", maxTokensLimit)}
	case s.Temperature < 0 || s.Temperature > 2:
		return s, &RequestError{"temperature", "must be between 0 and 2"}
	case s.TopP <= 0 || s.TopP > 1:
		return s, &RequestError{"top_p", "must be above 0 and at most 1"}
	}
	return s, nil
}

func valueOr[T any](p *T, fallback T) T {
	if p == nil {
		return fallback
	}
	return *p
}
