package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
)

const (
	// StopMargin is left of the platform's time for a stop to end connections.
	StopMargin = 400 * time.Millisecond
	// streamTime is the time of a long stream. New ones are refused when less
	// than that is left before the stop.
	streamTime = 7 * time.Second
	// drainInterval is the time between checks for the last request.
	drainInterval = 50 * time.Millisecond
)

// Drain is the planned stop: callers are sent elsewhere while their requests
// are still served, and the last requests end.
func (e *Edge) Drain(ctx context.Context) error {
	began := time.Now()
	end := began.Add(e.settings.StopTimeout - StopMargin)
	e.log.WithField("running", e.forward.Running()).WithField("until", end).Info("drain begins")
	e.leaving.Store(true)
	e.exchange.Leave()
	e.registry.Withdraw()
	at := func(due time.Time) { sleepUntil(ctx, due) }
	at(began.Add(e.settings.StopTimeout - StopMargin - streamTime))
	e.ingress.RefuseStreams()
	at(began.Add(membership.NearbyTTL))
	e.ingress.DisableKeepAlives()
	at(began.Add(3 * membership.NearbyTTL)) // some callers keep answers for three times their life
	e.ingress.RefuseRequests()
	for e.forward.Running() > 0 && time.Now().Before(end) {
		at(time.Now().Add(drainInterval))
	}
	e.log.WithField("running", e.forward.Running()).Info("drain ends")
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

// Stop ends all parts at once.
func (e *Edge) Stop() {
	e.pool.Close()
	if err := errors.Join(e.peerLink.Close(), e.peers.Close()); err != nil {
		e.log.WithError(err).Warn("peer connections did not close")
	}
	e.client.Close()
	e.store.Close()
}
