package gossip

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics holds the instruments of gossip. The transport counts its messages
// and bytes.
type metrics struct {
	oldestHeartbeat metric.Float64Gauge
}

func newMetrics() *metrics {
	m := &metrics{}
	// The API returns a working no-op instrument beside an error, and errors
	// arise only from invalid names.
	m.oldestHeartbeat, _ = otel.Meter("sequoiavalve/gossip").Float64Gauge("gossip_oldest_news", metric.WithUnit("s"),
		metric.WithDescription("Age of the oldest last heartbeat of a live instance of this region, or of another region."))
	return m
}

// observe records the oldest heartbeats. It is called in each round.
func (m *metrics) observe(s *Store, now time.Time) {
	instance, region := s.tracker.LongestSilence(now)
	m.oldestHeartbeat.Record(context.Background(), instance.Seconds(), metric.WithAttributes(attribute.String("of", "instance")))
	m.oldestHeartbeat.Record(context.Background(), region.Seconds(), metric.WithAttributes(attribute.String("of", "region")))
}
