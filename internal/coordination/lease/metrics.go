package lease

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// heldMetric is a gauge that shows whether a keeper holds its lease. It is registered
// from Start to Stop. The number of label sets is bounded, because leases are named
// after the document's models and services and the region. It is used only by worker
// items of the keeper's key.
type heldMetric struct {
	registration metric.Registration
}

// register registers a callback that reads the keeper.
func (o *heldMetric) register(k *Keeper) {
	o.unregister()
	meter := otel.Meter("sequoiavalve/lease")
	// The API returns a working no-op instrument beside an error, and errors
	// arise only from invalid names.
	held, _ := meter.Int64ObservableGauge("leases_held",
		metric.WithDescription("1 for a lease that this instance holds, 0 for one that it is a candidate for."))
	name := metric.WithAttributes(attribute.String("lease", k.cfg.Name))
	o.registration, _ = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		value := int64(0)
		if _, ok := k.Held(time.Now()); ok {
			value = 1
		}
		observer.ObserveInt64(held, value, name)
		return nil
	}, held)
}

// unregister removes the callback, and with it the lease from the metrics.
func (o *heldMetric) unregister() {
	if o.registration != nil {
		_ = o.registration.Unregister() // fails only for a foreign registration
		o.registration = nil
	}
}
