package callerclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
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

// endpoint returns the address for the given attempt. Each attempt fetches the
// endpoints again: the failure of the attempt before showed that they may be out
// of date. The address of the last lost connection, if any, is queried and used
// only after all others: a frozen instance accepts connections but sends no
// response.
func (c *Client) endpoint(ctx context.Context, attempt int, lostAddress string) (string, error) {
	var failures []error
	for _, address := range rotate(c.bootstrap, attempt, lostAddress) {
		answer, err := c.Endpoints(ctx, address)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		addresses := make([]string, 0, len(answer.Endpoints))
		for _, e := range answer.Endpoints {
			addresses = append(addresses, e.Address)
		}
		if len(addresses) > 0 {
			return rotate(addresses, attempt, lostAddress)[0], nil
		}
	}
	return "", fmt.Errorf("no endpoint: %w", errors.Join(failures...))
}

// rotate returns the addresses in an order that begins with a different one for
// each attempt. The lost address comes last.
func rotate(addresses []string, attempt int, lostAddress string) []string {
	first := attempt % len(addresses)
	rotated := slices.Concat(addresses[first:], addresses[:first])
	if i := slices.Index(rotated, lostAddress); i >= 0 {
		rotated = append(slices.Delete(rotated, i, i+1), lostAddress)
	}
	return rotated
}

// Endpoints fetches from one instance the addresses to use.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(body, &answer)
}
