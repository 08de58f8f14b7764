// Package callerclient is a client of the HTTP API for callers: it fetches the
// endpoints, streams generations, reconnects with Last-Event-ID when a
// connection is lost, and checks the order of the events received. The load tool
// uses it.
package callerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
	"github.com/tmaxmax/go-sse"
)

const (
	// maxRefusals is the number of refusals in a row after which a generation
	// is given up. They take 10 s, by which time every instance has learnt of
	// the loss that interrupted the generation.
	maxRefusals    = 100
	reconnectPause = 100 * time.Millisecond
	maxEventBytes  = 1 << 20
	maxReplyBytes  = 1 << 20
)

// Client sends requests to one deployment.
type Client struct {
	// EventTimeout is the longest wait for the next event of a stream that has
	// begun, after which the client reconnects. Zero means no limit.
	EventTimeout time.Duration

	http         *http.Client
	bootstrap    []string // addresses that answer /v1/endpoints
	organisation string
}

// New returns a client that starts from the given addresses.
func New(organisation string, bootstrap ...string) *Client {
	return &Client{
		http: &http.Client{Transport: keptconn.New(&http.Transport{
			MaxIdleConnsPerHost:    256,
			ResponseHeaderTimeout:  time.Minute,
			MaxResponseHeaderBytes: answerlimit.MaxHeadBytes,
		})},
		bootstrap:    bootstrap,
		organisation: organisation,
	}
}

// Generation is a request for a streamed completion.
type Generation struct {
	Model     string
	Prompt    string
	MaxTokens int
	Seed      int64
}

// Transcript records what a caller received of one generation.
type Transcript struct {
	RequestID    string
	Tokens       []string
	FirstToken   time.Duration
	Intervals    []time.Duration // between events
	LastID       string          // ID of the last event
	Reconnects   int
	FinishReason string // finish reason; empty if the answer is incomplete
	RefusalCode  string // code of the refusal
	// OrderError describes the first event that was malformed, or whose ID did not
	// match the number of tokens received.
	OrderError string
}

// LongestGap returns the longest time without a token after the first one.
func (t *Transcript) LongestGap() time.Duration {
	var longest time.Duration
	for _, d := range t.Intervals {
		longest = max(longest, d)
	}
	return longest
}

// Text returns the tokens as one text.
func (t *Transcript) Text() string { return strings.Join(t.Tokens, "") }

// stream is the state of one streamed generation over its connections.
type stream struct {
	refusals    int    // in a row
	lostAddress string // address of the last connection
	client      *Client
	body        []byte
	started     time.Time
	lastTokens  time.Time
	transcript  Transcript
	watch       func(*Transcript)
	eventTimer  *time.Timer // cancels the connection when no event arrives in time
}

// resetEventTimer restarts the timeout for the next event. It does not apply
// before the first event.
func (s *stream) resetEventTimer() {
	if s.client.EventTimeout > 0 && s.transcript.LastID != "" {
		s.eventTimer.Reset(s.client.EventTimeout)
	}
}

// Stream runs a generation and reconnects until its end. watch, if not nil, is
// called after each event.
func (c *Client) Stream(ctx context.Context, g Generation, watch func(*Transcript)) (Transcript, error) {
	body, err := json.Marshal(map[string]any{
		"model": g.Model, "prompt": g.Prompt, "max_tokens": g.MaxTokens, "seed": g.Seed, "stream": true,
	})
	if err != nil {
		return Transcript{}, fmt.Errorf("encode request: %w", err)
	}
	s := &stream{client: c, body: body, started: time.Now(), watch: watch}
	for attempt := 0; ; attempt++ {
		done, err := s.connect(ctx, attempt)
		if done || ctx.Err() != nil || s.refusals >= maxRefusals {
			return s.transcript, errors.Join(ctx.Err(), err)
		}
		s.transcript.Reconnects++
		select {
		case <-time.After(reconnectPause):
		case <-ctx.Done():
		}
	}
}

// connect opens one connection and reads the stream from it. It reports true
// when the generation has ended.
func (s *stream) connect(ctx context.Context, attempt int) (bool, error) {
	address, err := s.client.endpoint(ctx, attempt, s.lostAddress)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.eventTimer = time.AfterFunc(math.MaxInt64, cancel)
	defer s.eventTimer.Stop()
	s.lostAddress = address // it counts as lost unless the generation ends on this connection
	s.resetEventTimer()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(s.body))
	if err != nil {
		return true, fmt.Errorf("build request: %w", err)
	}
	s.client.setHeaders(req)
	if s.transcript.LastID != "" {
		req.Header.Set("Last-Event-ID", s.transcript.LastID)
	}
	resp, err := s.client.http.Do(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	s.transcript.RequestID = resp.Header.Get("X-Request-ID")
	if resp.StatusCode != http.StatusOK {
		return s.recordRefusal(resp)
	}
	s.refusals = 0
	s.transcript.RefusalCode = ""
	return s.readEvents(resp.Body), nil
}

// recordRefusal records a refusal. It reports true if a retry would be refused
// again.
func (s *stream) recordRefusal(resp *http.Response) (bool, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return false, err
	}
	s.transcript.RefusalCode = refusalCode(string(body))
	s.refusals++
	retry := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return !retry, fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(body))
}

func refusalCode(body string) string {
	var reply struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(body), &reply) // a body that is not JSON has no code
	return reply.Error.Code
}

// readEvents adds events to the transcript until the connection ends. It reports
// true at the end of the generation.
func (s *stream) readEvents(body io.Reader) bool {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		switch {
		case err != nil:
			return false
		case event.Data == "[DONE]":
			return true
		case event.Type == "error":
			s.transcript.RefusalCode = refusalCode(event.Data)
			return true
		}
		s.addEvent(event)
	}
	return false
}

// addEvent adds one event to the transcript.
func (s *stream) addEvent(event sse.Event) {
	var chunk struct {
		Choices []struct {
			Text         string `json:"text"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil || len(chunk.Choices) != 1 {
		s.recordDisorder(event, "malformed chunk")
		return
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != "" {
		s.transcript.FinishReason = choice.FinishReason
	}
	tokens := splitTokens(choice.Text)
	if len(tokens) > 0 {
		s.addTokens(tokens)
		s.checkID(event)
	}
	s.transcript.LastID = event.LastEventID
	if s.watch != nil {
		s.watch(&s.transcript)
	}
	s.resetEventTimer()
}

func (s *stream) addTokens(tokens []string) {
	now := time.Now()
	if len(s.transcript.Tokens) == 0 {
		s.transcript.FirstToken = now.Sub(s.started)
	} else {
		s.transcript.Intervals = append(s.transcript.Intervals, now.Sub(s.lastTokens))
	}
	s.lastTokens = now
	s.transcript.Tokens = append(s.transcript.Tokens, tokens...)
}

// checkID compares the position in the event ID with the tokens received.
func (s *stream) checkID(event sse.Event) {
	i := strings.LastIndexByte(event.LastEventID, '.')
	if want := fmt.Sprint(len(s.transcript.Tokens)); event.LastEventID[i+1:] != want {
		s.recordDisorder(event, "position is not "+want)
	}
}

func (s *stream) recordDisorder(event sse.Event, reason string) {
	if s.transcript.OrderError == "" {
		s.transcript.OrderError = fmt.Sprintf("event %q: %s", event.LastEventID, reason)
	}
}

// splitTokens splits a text of the stand-in engines into tokens. Each of their
// tokens is a space followed by a word.
func splitTokens(text string) []string {
	var tokens []string
	for _, word := range strings.Fields(text) {
		tokens = append(tokens, " "+word)
	}
	return tokens
}

func (c *Client) setHeaders(req *http.Request) {
	req.Header.Set("Content-Type", "application/json")
	if c.organisation != "" {
		req.Header.Set("X-Organisation", c.organisation)
	}
}
