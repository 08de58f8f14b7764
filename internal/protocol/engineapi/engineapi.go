// Package engineapi encodes the API of model engines: OpenAI-compatible
// completions over server-sent events, extended by stream IDs, positions,
// continuation from accepted tokens, cancelling, load and orders.
package engineapi

import "time"

// Paths of the engine API. StreamPath takes the stream ID.
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

// EventLeaving is the type of the server-sent event by which an engine says
// that it will cut the stream soon. Its data is a LeavingNotice.
const EventLeaving = "leaving"

// EndOfStream is the data of the last event, as in the OpenAI API.
const EndOfStream = "[DONE]"

// CompletionRequest is the body of POST CompletionsPath.
type CompletionRequest struct {
	Model       string   `json:"model"`
	Version     string   `json:"version"` // the engine refuses another version with 409
	Adapter     string   `json:"adapter,omitempty"`
	Prompt      string   `json:"prompt"`
	Stream      bool     `json:"stream"`
	MaxTokens   int      `json:"max_tokens"` // counts the continued tokens too
	Temperature float64  `json:"temperature"`
	TopP        float64  `json:"top_p"`
	Seed        int64    `json:"seed"`
	Stop        []string `json:"stop,omitempty"`
	Priority    int      `json:"priority"` // lower runs first
	StreamID    string   `json:"stream_id"`
	// ContinueFrom holds the tokens that were accepted from earlier attempts.
	// The first token produced has position len(ContinueFrom).
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
	Position int      `json:"position"` // of Tokens[0]; the total count in the last chunk
	Tokens   []string `json:"tokens"`
	// FinishReason is empty but for the last chunk, which has no tokens.
	FinishReason string `json:"finish_reason,omitempty"`
}

// LeavingNotice is the data of an EventLeaving event.
type LeavingNotice struct {
	DeadlineMS int64 `json:"deadline_ms"` // time until the stream is cut
}

// Health is the body of GET HealthPath. Load figures lag behind.
type Health struct {
	Status          string    `json:"status"` // "up" or "leaving"
	Model           string    `json:"model"`
	Version         string    `json:"version"`
	Incarnation     uint64    `json:"incarnation"`
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	TokenTimeMS     float64   `json:"token_time_ms"`
	PrefillBytesSec float64   `json:"prefill_bytes_per_s"`
	LoadAt          time.Time `json:"load_at"` // when the load figures were true
}

// Health states.
const (
	StatusUp      = "up"
	StatusLeaving = "leaving"
)

// CacheEvent says that a prefix block entered or left the cache. Sequence
// numbers can have gaps: events are lost and arrive late.
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

// Order is the body of POST OrdersPath. It states the desired state, so a
// repeat is idempotent. The answer is 409 for a stale fencing number where
// the engine honours fencing.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Desired State  `json:"desired"`
}

// StateReply is the body of GET StatePath and the answer to an Order.
type StateReply struct {
	Actual  State  `json:"actual"`
	Desired State  `json:"desired"`
	Fencing uint64 `json:"fencing"` // highest number seen
}

// ErrorReply is the body of each answer with a status of 400 or above.
type ErrorReply struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}
