package call

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Outcomes of answered calls. A refused call is counted under the code of its
// refusal.
const (
	outcomeAnswered = "answered"
	outcomeReplayed = "replayed" // the recorded result of an earlier call
)

// Results of attempts without a response. An attempt with a response is counted
// under its status class, such as "2xx".
const (
	resultNotSent    = "not_sent"
	resultLost       = "lost"       // sent, no response
	resultSuperseded = "superseded" // another attempt of the call was faster
)

// metrics are the instruments of calls. The environment document names the
// services, which limits the number of label values.
type metrics struct {
	calls    metric.Int64Counter
	attempts metric.Int64Counter
	time     metric.Float64Histogram
}

func newMetrics() *metrics {
	meter := otel.Meter("sequoiavalve/call")
	m := &metrics{}
	// The API returns a working no-op instrument beside an error, and errors
	// arise only from invalid names.
	m.calls, _ = meter.Int64Counter("service_calls", metric.WithDescription("Calls to plain services that ended, by outcome."))
	m.attempts, _ = meter.Int64Counter("service_attempts",
		metric.WithDescription("Requests to upstreams of plain services, by result."))
	m.time, _ = meter.Float64Histogram("service_call_time", metric.WithUnit("s"),
		metric.WithDescription("Time from a caller's call to its answer or refusal."))
	return m
}

func outcomeLabel(resp Response, refusal *model.Refusal) string {
	switch {
	case refusal != nil:
		return refusal.Code
	case resp.Replayed:
		return outcomeReplayed
	default:
		return outcomeAnswered
	}
}

func (m *metrics) countEnd(req Request, outcome string, took time.Duration) {
	service := attribute.String("service", req.Service)
	m.calls.Add(context.Background(), 1, metric.WithAttributes(service, attribute.String("outcome", outcome)))
	m.time.Record(context.Background(), took.Seconds(),
		metric.WithAttributes(service, attribute.Bool("idempotent", req.Route.Idempotent)))
}

func (m *metrics) countAttempt(req Request, result string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", req.Service),
		attribute.String("result", result),
	))
}

func resultLabel(resp Response, err error, superseded bool) string {
	var sendErr *SendError
	switch {
	case err == nil:
		return strconv.Itoa(resp.Status/100) + "xx"
	case superseded:
		return resultSuperseded
	case errors.As(err, &sendErr) && !sendErr.Sent:
		return resultNotSent
	default:
		return resultLost
	}
}
