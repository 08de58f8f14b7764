// Package engineapi defines the API of model engines: OpenAI-compatible completions
// over server-sent events, with additions for stream IDs, token positions,
// continuation from accepted tokens, cancellation, load figures and orders.
package engineapi

import "time"

// Paths of the engine API. StreamPath is followed by the stream ID.
const (
	CompletionsPath = "/v1/completions"
	StreamPath      = "/v1/streams/" // GET resumes (?after=N), DELETE cancels
	HealthPath      = "/health"
	CacheEventsPath = "/v1/cache/events" // ?after=SEQUENCE
	StatePath       = "/v1/state"
	OrdersPath      = "/v1/orders"
)

// Headers of the engine API.
const (
	HeaderIncarnation = "X-Engine-Incarnation"
	HeaderVersion     = "X-Engine-Version"
	HeaderLeaving     = "X-Upstream-Leaving" // "true" once the upstream leaves
)

// EventLeaving is the type of the server-sent event by which an engine announces that
// it will close the stream soon. Its data is a LeavingNotice.
const EventLeaving = "leaving"

// EndOfStream is the data of the last event of a stream, as in the OpenAI API.
const EndOfStream = "[DONE]"

// CompletionRequest is the body of POST CompletionsPath.
type CompletionRequest struct {
	Model       string   `json:"model"`
	Version     string   `json:"version"` // an engine of another version answers 409
	Adapter     string   `json:"adapter,omitempty"`
	Prompt      string   `json:"prompt"`
	Stream      bool     `json:"stream"`
	MaxTokens   int      `json:"max_tokens"` // includes the tokens in ContinueFrom
	Temperature float64  `json:"temperature"`
	TopP        float64  `json:"top_p"`
	Seed        int64    `json:"seed"`
	Stop        []string `json:"stop,omitempty"`
	Priority    int      `json:"priority"` // lower runs first
	StreamID    string   `json:"stream_id"`
	// ContinueFrom holds the tokens that were accepted from earlier attempts. The
	// first token that the engine generates has position len(ContinueFrom).
	ContinueFrom []string `json:"continue_from,omitempty"`
}

// Chunk is the data of one event of a stream.
type Chunk struct {
	ID      string   `json:"id"` // stream ID
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is the only choice of a Chunk.
type Choice struct {
	Index    int      `json:"index"`
	Text     string   `json:"text"`
	Position int      `json:"position"` // of Tokens[0]; in the last chunk, the total number of tokens
	Tokens   []string `json:"tokens"`
	// FinishReason is set only in the last chunk, which has no tokens.
	FinishReason string `json:"finish_reason,omitempty"`
}

// LeavingNotice is the data of an EventLeaving event.
type LeavingNotice struct {
	DeadlineMS int64 `json:"deadline_ms"` // time until the engine closes the stream
}

// Health is the body of GET HealthPath. The load figures lag behind the engine's
// present load, see LoadAt.
type Health struct {
	Status          string    `json:"status"` // "up" or "leaving"
	Model           string    `json:"model"`
	Version         string    `json:"version"`
	Incarnation     uint64    `json:"incarnation"`
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	TokenTimeMS     float64   `json:"token_time_ms"`
	PrefillBytesSec float64   `json:"prefill_bytes_per_s"`
	LoadAt          time.Time `json:"load_at"` // time at which the load figures were measured
}

// Health states.
const (
	StatusUp      = "up"
	StatusLeaving = "leaving"
)

// CacheEvent reports that a prefix block was added to the prompt cache or evicted from
// it. Events can be lost or arrive late, so sequence numbers can have gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"` // hash of the prompt prefix that ends with this block
	Evicted  bool   `json:"evicted"`
}

// CacheEvents is the body of GET CacheEventsPath.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// State is the desired or actual state of an engine.
type State struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// Order is the body of POST OrdersPath. It holds the complete desired state, so that
// repeating it is idempotent. An engine that honours fencing answers 409 to an order
// whose fencing token is lower than one that it has seen.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Desired State  `json:"desired"`
}

// StateReply is the body of GET StatePath and the answer to an Order.
type StateReply struct {
	Actual  State  `json:"actual"`
	Desired State  `json:"desired"`
	Fencing uint64 `json:"fencing"` // highest fencing token that the engine has seen
}

// ErrorReply is the body of each answer with a status of 400 or above.
type ErrorReply struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}
