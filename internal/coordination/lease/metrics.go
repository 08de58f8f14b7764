package lease

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// observation exports whether a keeper holds its lease, from Start to Stop.
// Leases are named by the document's models and services and by the region,
// which bounds the label sets. It is used only by items of the keeper's key.
type observation struct {
	registration metric.Registration
}

// begin registers the keeper's callback.
func (o *observation) begin(k *Keeper) {
	o.end()
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

// end removes the callback, and with it the lease from the metrics.
func (o *observation) end() {
	if o.registration != nil {
		_ = o.registration.Unregister() // fails only for a foreign registration
		o.registration = nil
	}
}
