package standin

import (
	"context"
	"math"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
)

// unregisterTimeout bounds how long a stop waits when the platform is down.
const unregisterTimeout = time.Second

// Registration writes and removes an upstream's entry in the platform's list of
// instances and upstreams.
type Registration struct {
	directory *platform.Directory
	upstream  model.Upstream
}

// NewRegistration returns a registration that has not been written yet.
func NewRegistration(client *platform.Client, upstream model.Upstream) *Registration {
	return &Registration{directory: platform.NewDirectory(client), upstream: upstream}
}

// Register writes the entry as live. It repeats the write, which is
// idempotent, until it succeeds or the context ends.
func (r *Registration) Register(ctx context.Context) {
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, r.directory.RegisterUpstream(ctx, r.upstream, false)
	}, backoff.WithMaxElapsedTime(0))
	if err != nil {
		r.log().WithError(err).Warn("upstream was not registered")
		return
	}
	r.log().Info("upstream is registered")
}

// Leave marks the entry as leaving. It waits at most unregisterTimeout
// and logs a failure.
func (r *Registration) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	if err := r.directory.RegisterUpstream(ctx, r.upstream, true); err != nil {
		r.log().WithError(err).Warn("upstream could not be marked as leaving on the platform")
	}
}

// Remove deletes the entry. It waits at most unregisterTimeout
// and logs a failure.
func (r *Registration) Remove() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	if err := r.directory.Remove(ctx, string(r.upstream.ID)); err != nil {
		r.log().WithError(err).Warn("upstream could not be removed from the platform")
	}
}

func (r *Registration) log() *log.Entry {
	return log.WithField("part", "standin").WithField("upstream", string(r.upstream.ID))
}

// FetchWeights returns a function that reads weights. It retries until it
// succeeds or the context ends, and waits as long as Retry-After asks.
func FetchWeights(client *platform.Client) func(ctx context.Context, name string) error {
	weights := platform.NewWeights(client)
	return func(ctx context.Context, name string) error {
		_, err := backoff.Retry(ctx, func() (struct{}, error) {
			_, err := weights.Fetch(ctx, name)
			if wait := platform.RetryAfter(err); wait > 0 {
				return struct{}{}, backoff.RetryAfter(int(math.Ceil(wait.Seconds())))
			}
			return struct{}{}, err
		}, backoff.WithMaxElapsedTime(0))
		return err
	}
}
