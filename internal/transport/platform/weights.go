package platform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
)

// Weights is the rate-limited weight store.
type Weights struct {
	client *Client
}

// NewWeights returns the weight store of the client's platform.
func NewWeights(client *Client) *Weights {
	return &Weights{client: client}
}

// Fetch reads the weights of a model's version. If the store's rate limit is
// exceeded, it fails with an error from which RetryAfter returns the time to wait.
func (w *Weights) Fetch(ctx context.Context, name string) ([]byte, error) {
	if !platformapi.ValidKey(name) {
		return nil, invalidKey(name)
	}
	got, err := w.client.do(ctx, call{op: "GET weights", method: http.MethodGet, path: platformapi.WeightPath(name)})
	return got.body, err
}

// RetryAfter returns the time that the platform asked to wait before the next
// call, zero when it did not ask.
func RetryAfter(err error) time.Duration {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.RetryAfter
	}
	return 0
}
