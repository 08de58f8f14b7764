package replication

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
)

// Metrics exports the counts of a Manager and the size of a Holder. It
// implements Counters.
type Metrics struct {
	unprotected metric.Int64Counter
	copied      metric.Int64Counter
	takeovers   metric.Int64Counter
}

var _ Counters = (*Metrics)(nil)

// NewMetrics returns the instruments of one instance.
func NewMetrics(holder *Holder) *Metrics {
	meter := otel.Meter("sequoiavalve/replication")
	m := &Metrics{}
	// The API returns a working no-op instrument beside an error, and errors
	// arise only from invalid names.
	m.unprotected, _ = meter.Int64Counter("replication_unprotected_tokens",
		metric.WithDescription("Tokens that were shown without a copy because no holder acknowledged them in time."))
	m.copied, _ = meter.Int64Counter("replication_copied_tokens",
		metric.WithDescription("Tokens that a holder acknowledged."))
	m.takeovers, _ = meter.Int64Counter("replication_takeovers",
		metric.WithDescription("Generations of lost instances that this instance took over from a copy."))
	for _, counter := range []metric.Int64Counter{m.unprotected, m.copied, m.takeovers} {
		counter.Add(context.Background(), 0) // shows 0 before the first event
	}
	_, _ = meter.Int64ObservableGauge("replication_held", metric.WithUnit("By"),
		metric.WithDescription("Prompts and tokens of other instances' generations that this instance holds."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(int64(holder.Bytes()))
			return nil
		}))
	return m
}

// Unprotected implements Counters.
func (m *Metrics) Unprotected(tokens int) { m.unprotected.Add(context.Background(), int64(tokens)) }

// Copied implements Counters.
func (m *Metrics) Copied(tokens int) { m.copied.Add(context.Background(), int64(tokens)) }

// TakenOver implements Counters.
func (m *Metrics) TakenOver() { m.takeovers.Add(context.Background(), 1) }
