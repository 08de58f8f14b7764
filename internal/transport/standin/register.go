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

// removeTimeout bounds how long a stop waits for a platform that is down.
const removeTimeout = time.Second

// Registration keeps an upstream's entry in the platform's list.
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

// Leave marks the entry as leaving. A platform that is down is not waited for.
func (r *Registration) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	if err := r.directory.RegisterUpstream(ctx, r.upstream, true); err != nil {
		r.log().WithError(err).Warn("upstream is not listed as leaving")
	}
}

// Remove deletes the entry.
func (r *Registration) Remove() {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	if err := r.directory.Remove(ctx, string(r.upstream.ID)); err != nil {
		r.log().WithError(err).Warn("upstream is still listed")
	}
}

func (r *Registration) log() *log.Entry {
	return log.WithField("part", "standin").WithField("upstream", string(r.upstream.ID))
}

// FetchWeights returns a function that reads weights and waits as long as the
// weight store asks.
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
