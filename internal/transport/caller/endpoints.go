package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const endpointsTimeout = time.Second

// Endpoints is the answer of GET /v1/endpoints.
type Endpoints struct {
	Endpoints []struct {
		Address string `json:"address"`
	} `json:"endpoints"`
	TTLSeconds int `json:"ttl_seconds"`
}

// endpoint returns the address for the given attempt. Each attempt asks again,
// because the last one showed that the answer may be out of date.
func (c *Client) endpoint(ctx context.Context, attempt int) (string, error) {
	var failures []error
	for i := range c.bootstrap {
		address := c.bootstrap[(attempt+i)%len(c.bootstrap)]
		answer, err := c.Endpoints(ctx, address)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		if n := len(answer.Endpoints); n > 0 {
			return answer.Endpoints[attempt%n].Address, nil
		}
	}
	return "", fmt.Errorf("no endpoint: %w", errors.Join(failures...))
}

// Endpoints asks one instance which addresses to use.
func (c *Client) Endpoints(ctx context.Context, address string) (Endpoints, error) {
	ctx, cancel := context.WithTimeout(ctx, endpointsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/endpoints", nil)
	if err != nil {
		return Endpoints{}, fmt.Errorf("build request: %w", err)
	}
	c.setHeaders(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return Endpoints{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer Endpoints
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("endpoints from %s: status %d", address, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&answer)
	return answer, err
}
