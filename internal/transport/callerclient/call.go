package callerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Reply is the answer to a call of a plain service.
type Reply struct {
	Status  int
	Code    string // code of a refusal
	Outcome string // outcome of a refusal
	Body    string
}

// Call sends one POST request to a service path at the given address, without
// retries.
func (c *Client) Call(ctx context.Context, address, path, key string, body []byte) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		return Reply{}, fmt.Errorf("build request: %w", err)
	}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	c.setHeaders(req)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return Reply{}, err
	}
	return Reply{Status: resp.StatusCode, Code: refusalCode(string(text)), Outcome: refusalOutcome(text), Body: string(text)}, nil
}

func refusalOutcome(body []byte) string {
	var reply struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &reply) // a response of the service itself has no outcome
	return reply.Error.Outcome
}
