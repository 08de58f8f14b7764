package openai

import "encoding/json"

// EndOfStream is the data of the last event of a stream.
const EndOfStream = "[DONE]"

// Format encodes the replies to one request.
type Format struct {
	Chat    bool
	ID      string // request ID
	Model   string
	Created int64 // Unix time in seconds
}

type reply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Chunk encodes the data of one event of a stream. finish is the finish reason, which
// is set only in the last chunk.
func (f Format) Chunk(text, finish string) ([]byte, error) {
	c := choice{}
	if finish != "" {
		c.FinishReason = &finish
	}
	object := "text_completion"
	if f.Chat {
		object = "chat.completion.chunk"
		c.Delta = &content{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return json.Marshal(f.reply(object, c, nil))
}

// Whole encodes a complete response that is not streamed. Its usage does not count
// prompt tokens, because only the engine has the tokenizer.
func (f Format) Whole(text, finish string, tokens int) ([]byte, error) {
	c := choice{FinishReason: &finish}
	object := "text_completion"
	if f.Chat {
		object = "chat.completion"
		c.Message = &content{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return json.Marshal(f.reply(object, c, &usage{CompletionTokens: tokens, TotalTokens: tokens}))
}

func (f Format) reply(object string, c choice, u *usage) reply {
	return reply{ID: f.ID, Object: object, Created: f.Created, Model: f.Model, Choices: []choice{c}, Usage: u}
}
