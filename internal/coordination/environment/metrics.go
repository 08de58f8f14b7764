package environment

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
)

// ObserveDocument exports the generation and the age of the document in force.
// Both processes of an instance call it once for their table.
func ObserveDocument(table *document.Table) {
	meter := otel.Meter("sequoiavalve/environment")
	// Errors are ignored: they arise only from invalid names, and the API then
	// returns a usable no-op instrument.
	_, _ = meter.Int64ObservableGauge("document_generation",
		metric.WithDescription("Generation of the environment document in force, 0 without one."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			generation := uint64(0)
			if d := table.Current(); d != nil {
				generation = d.Generation
			}
			observer.Observe(int64(generation))
			return nil
		}))
	_, _ = meter.Float64ObservableGauge("document_age", metric.WithUnit("s"),
		metric.WithDescription("Time since the document in force was put in force in this process."),
		metric.WithFloat64Callback(func(_ context.Context, observer metric.Float64Observer) error {
			if since, ok := table.InForceSince(); ok {
				observer.Observe(time.Since(since).Seconds())
			}
			return nil
		}))
}
