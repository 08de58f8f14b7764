package peer

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
)

// Traffic is the traffic of a client or server since its start. The wire bytes
// are those of QUIC packets without UDP and IP headers.
type Traffic struct {
	MessagesSent      uint64
	MessagesReceived  uint64
	BytesSent         uint64 // encoded messages
	BytesReceived     uint64
	WireBytesSent     uint64
	WireBytesReceived uint64
	PacketsSent       uint64
	PacketsReceived   uint64
}

// meter counts messages by kind and packets by connection. mu guards total and
// live.
type meter struct {
	bytes    metric.Int64Counter
	messages metric.Int64Counter

	mu    sync.Mutex
	total Traffic // messages of all connections, packets of ended ones
	live  map[*quic.Conn]struct{}
}

func newMeter(o Options, role string) (*meter, error) {
	m := &meter{live: map[*quic.Conn]struct{}{}}
	meters := o.Meters.Meter(instrumentationScope)
	var err error
	if m.bytes, err = meters.Int64Counter("peer.message.bytes", metric.WithUnit("By"),
		metric.WithDescription("Encoded bytes of messages between processes.")); err != nil {
		return nil, trace.Wrap(err)
	}
	if m.messages, err = meters.Int64Counter("peer.messages",
		metric.WithDescription("Messages between processes.")); err != nil {
		return nil, trace.Wrap(err)
	}
	_, err = meters.Int64ObservableCounter("peer.wire.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of QUIC packets between processes."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			t := m.traffic()
			observer.Observe(int64(t.WireBytesSent), trafficAttributes("sent", role))
			observer.Observe(int64(t.WireBytesReceived), trafficAttributes("received", role))
			return nil
		}))
	return m, trace.Wrap(err)
}

func trafficAttributes(d, role string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("direction", d), attribute.String("role", role))
}

func (m *meter) count(ctx context.Context, kind peerwire.Kind, sent bool, n int) {
	d := "received"
	m.mu.Lock()
	if sent {
		d = "sent"
		m.total.MessagesSent++
		m.total.BytesSent += uint64(n)
	} else {
		m.total.MessagesReceived++
		m.total.BytesReceived += uint64(n)
	}
	m.mu.Unlock()
	attributes := metric.WithAttributes(attribute.String("kind", kind.Label()), attribute.String("direction", d))
	m.bytes.Add(ctx, int64(n), attributes)
	m.messages.Add(ctx, 1, attributes)
}

// watch counts a connection's packets until it ends.
func (m *meter) watch(conn *quic.Conn) {
	m.mu.Lock()
	m.live[conn] = struct{}{}
	m.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.live, conn)
		addPackets(&m.total, conn)
	})
}

func addPackets(t *Traffic, conn *quic.Conn) {
	stats := conn.ConnectionStats()
	t.WireBytesSent += stats.BytesSent
	t.WireBytesReceived += stats.BytesReceived
	t.PacketsSent += stats.PacketsSent
	t.PacketsReceived += stats.PacketsReceived
}

func (m *meter) traffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.total
	for conn := range m.live {
		addPackets(&t, conn)
	}
	return t
}
