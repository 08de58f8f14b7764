package gossip

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics are the instruments of gossip. Its messages and bytes are counted by
// the transport.
type metrics struct {
	news metric.Float64Gauge
}

func newMetrics() *metrics {
	m := &metrics{}
	// The API returns a working no-op instrument beside an error, and errors
	// arise only from invalid names.
	m.news, _ = otel.Meter("sequoiavalve/gossip").Float64Gauge("gossip_oldest_news", metric.WithUnit("s"),
		metric.WithDescription("Age of the oldest last heartbeat of a live instance of this region, or of another region."))
	return m
}

// observe is called in each round.
func (m *metrics) observe(s *Store, now time.Time) {
	instance, region := s.tracker.OldestNews(now)
	m.news.Record(context.Background(), instance.Seconds(), metric.WithAttributes(attribute.String("of", "instance")))
	m.news.Record(context.Background(), region.Seconds(), metric.WithAttributes(attribute.String("of", "region")))
}
