package platform

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
)

// lastAnswer is the time of the platform's last answer of any status, or of
// the client's start before the first one.
type lastAnswer struct {
	at atomic.Pointer[time.Time]
}

// newLastAnswer returns a lastAnswer and exports its age as a metric.
func newLastAnswer() *lastAnswer {
	l := &lastAnswer{}
	l.record()
	// The API returns a working no-op instrument beside an error, and errors
	// arise only from invalid names.
	_, _ = otel.Meter("sequoiavalve/platform").Float64ObservableGauge("platform_answer_age", metric.WithUnit("s"),
		metric.WithDescription("Time since the platform last answered this process."),
		metric.WithFloat64Callback(func(_ context.Context, observer metric.Float64Observer) error {
			observer.Observe(time.Since(*l.at.Load()).Seconds())
			return nil
		}))
	return l
}

// record sets the time of the last answer to now.
func (l *lastAnswer) record() {
	now := time.Now()
	l.at.Store(&now)
}
