package rollout

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
)

// Kinds of evidence on which an instance stops a version.
const (
	evidenceOwn    = "own"    // hard evidence of one instance
	evidencePooled = "pooled" // a verdict of the judge, or a record of a move that was taken back
)

// stopCounter counts the stops that this process adds. A stop received by gossip
// is counted only by the process that added it.
type stopCounter struct{ stops metric.Int64Counter }

func newStopCounter(evidence string) stopCounter {
	// The API returns a working no-op instrument beside an error, and errors
	// arise only from invalid names.
	stops, _ := otel.Meter("sequoiavalve/rollout").Int64Counter("version_stops",
		metric.WithDescription("Stops of versions that this process added, by evidence."))
	stops.Add(context.Background(), 0, evidenceLabel(evidence)) // shows 0 before the first stop
	return stopCounter{stops}
}

func (c stopCounter) count(evidence string) {
	c.stops.Add(context.Background(), 1, evidenceLabel(evidence))
}

func evidenceLabel(evidence string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("evidence", evidence))
}

// RegisterShareMetrics registers gauges for the share of each version that the current
// document names, and for whether the version is stopped. Each of the two
// processes of an instance calls it once with its own tables.
func RegisterShareMetrics(documents *document.Table, stops *stop.Table) {
	meter := otel.Meter("sequoiavalve/rollout")
	_, _ = meter.Float64ObservableGauge("version_share", metric.WithUnit("1"),
		metric.WithDescription("Part of the new work that a version receives."),
		metric.WithFloat64Callback(func(_ context.Context, observer metric.Float64Observer) error {
			for _, v := range versionStatuses(documents.Current(), stops) {
				observer.Observe(v.share, v.labels())
			}
			return nil
		}))
	_, _ = meter.Int64ObservableGauge("version_stopped",
		metric.WithDescription("1 for a version that is barred from new work, else 0."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			for _, v := range versionStatuses(documents.Current(), stops) {
				observer.Observe(v.stopped, v.labels())
			}
			return nil
		}))
}

// versionStatus holds the exported values of one version.
type versionStatus struct {
	key     model.VersionKey
	share   float64
	stopped int64
}

func (v versionStatus) labels() metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("serves", v.key.Serves), attribute.String("version", v.key.Version))
}

func versionStatuses(doc *model.Document, stops *stop.Table) []versionStatus {
	if doc == nil {
		return nil
	}
	var all []versionStatus
	for _, s := range subjects(doc) {
		share := TargetShare(s.serves, s.plan, stops)
		all = append(all, newVersionStatus(s.serves, s.plan.Target, share, stops))
		if IsMove(s.plan) {
			all = append(all, newVersionStatus(s.serves, s.plan.Previous, 1-share, stops))
		}
	}
	return all
}

func newVersionStatus(serves, version string, share float64, stops *stop.Table) versionStatus {
	v := versionStatus{key: model.VersionKey{Serves: serves, Version: version}, share: share}
	if stops.Stopped(v.key) {
		v.stopped = 1
	}
	return v
}
