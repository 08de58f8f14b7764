package caller

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

// endpoint returns the address for the given attempt. Each attempt asks again,
// because the last one showed that the answer may be out of date. The address
// that was lost last, if any, is asked and used only after all others: a frozen
// instance accepts connections and says nothing.
func (c *Client) endpoint(ctx context.Context, attempt int, lost string) (string, error) {
	var failures []error
	for _, address := range inTurn(c.bootstrap, attempt, lost) {
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
			return inTurn(addresses, attempt, lost)[0], nil
		}
	}
	return "", fmt.Errorf("no endpoint: %w", errors.Join(failures...))
}

// inTurn returns the addresses from the attempt's own on, the lost one last.
func inTurn(addresses []string, attempt int, lost string) []string {
	first := attempt % len(addresses)
	turn := slices.Concat(addresses[first:], addresses[:first])
	if i := slices.Index(turn, lost); i >= 0 {
		turn = append(slices.Delete(turn, i, i+1), lost)
	}
	return turn
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
