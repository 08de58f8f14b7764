package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
)

const (
	// StopMargin is the part of the platform's time for a stop that is kept for
	// closing connections.
	StopMargin = 400 * time.Millisecond
	// longStreamTime is how long a long stream takes. New streams are refused when
	// less time is left before the stop.
	longStreamTime = 7 * time.Second
	// answerTime bounds the wait for the final answers of the requests that are left. It
	// and the time to close connections fit in StopMargin.
	answerTime = 200 * time.Millisecond
	// drainInterval is the time between checks whether requests still run.
	drainInterval = 50 * time.Millisecond
)

// Drain prepares a planned stop. It withdraws the instance, so that callers turn
// to others, keeps serving meanwhile, refuses new requests step by step, and
// waits until the running ones have ended or the time is over. Those that are left
// then get a final answer, since closed connections would tell their callers nothing.
func (e *Edge) Drain(ctx context.Context) error {
	start := time.Now()
	end := start.Add(e.settings.StopTimeout - StopMargin)
	e.log.WithField("running", e.forward.Running()).WithField("until", end).Info("drain begins")
	e.draining.Store(true)
	e.exchange.Leave()
	e.registry.Withdraw()
	waitUntil := func(due time.Time) { sleepUntil(ctx, due) }
	waitUntil(start.Add(e.settings.StopTimeout - StopMargin - longStreamTime))
	e.ingress.RefuseStreams()
	waitUntil(start.Add(membership.NearbyTTL))
	e.ingress.DisableKeepAlives()
	e.ingress.RefuseEndingAfter(end)
	waitUntil(start.Add(3 * membership.NearbyTTL)) // some callers use an answer for three times its TTL
	e.ingress.RefuseRequests()
	for e.forward.Running() > 0 && time.Now().Before(end) {
		waitUntil(time.Now().Add(drainInterval))
	}
	e.log.WithField("running", e.forward.Running()).Info("drain ends")
	e.forward.EndAll()
	for answered := time.Now().Add(answerTime); e.forward.Running() > 0 && time.Now().Before(answered); {
		waitUntil(time.Now().Add(drainInterval))
	}
	return nil
}

func sleepUntil(ctx context.Context, due time.Time) {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Stop closes all parts at once, without waiting for requests.
func (e *Edge) Stop() {
	e.pool.Close()
	if err := errors.Join(e.peerLink.Close(), e.peers.Close()); err != nil {
		e.log.WithError(err).Warn("closing the peer connections failed")
	}
	e.client.Close()
	e.store.CloseIdle()
}
