package forward

import (
	"context"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics holds the instruments for forwarded requests.
type metrics struct {
	requests      metric.Int64Counter
	latency       metric.Float64Histogram
	losses        metric.Int64Counter
	resends       metric.Int64Counter
	firstEvent    metric.Float64Histogram
	resumePause   metric.Float64Histogram
	probes        metric.Int64Counter
	promptQueries metric.Int64Counter
	badOutcomes   metric.Int64Counter
	leaving       metric.Int64Counter
	pauses        metric.Int64Counter
	pauseRefusals metric.Int64Counter
	aborted       metric.Int64Counter
	domainShare   metric.Float64Gauge
	leftDomain    metric.Int64Counter
	turnedAway    metric.Int64Counter
}

// newMetrics returns the instruments. Creating an instrument fails only for an
// invalid name, and then returns an instrument that does nothing.
func newMetrics() *metrics {
	meter := otel.Meter("sequoiavalve/forward")
	m := &metrics{}
	m.requests, _ = meter.Int64Counter("forward_requests", metric.WithDescription("Requests that ended, by route and outcome."))
	m.latency, _ = meter.Float64Histogram("forward_seconds", metric.WithUnit("s"), metric.WithDescription("Time from arrival to end of a request."))
	m.losses, _ = meter.Int64Counter("forward_attempts_lost", metric.WithDescription("Attempts that were lost, by service and kind."))
	m.resends, _ = meter.Int64Counter("forward_resends", metric.WithDescription("Further sends of a call, by service and cause."))
	m.firstEvent, _ = meter.Float64Histogram("forward_first_event_seconds", metric.WithUnit("s"), metric.WithDescription("Time from a send to its first event."))
	m.resumePause, _ = meter.Float64Histogram("forward_resume_seconds", metric.WithUnit("s"), metric.WithDescription("Pause between the last event before a loss and the next one."))
	m.probes, _ = meter.Int64Counter("forward_probes", metric.WithDescription("Questions to engines that were silent before their first event."))
	m.promptQueries, _ = meter.Int64Counter("forward_kept_queries", metric.WithDescription("Questions to engines for the prompts that they keep, by whether they answered."))
	m.badOutcomes, _ = meter.Int64Counter("forward_bad_outcomes", metric.WithDescription("Attempts that failed or were late at a live upstream, by service and cause."))
	m.leaving, _ = meter.Int64Counter("forward_upstreams_leaving", metric.WithDescription("Upstreams that said in an answer that they leave, by service."))
	m.pauses, _ = meter.Int64Counter("forward_pauses", metric.WithDescription("Pauses that upstreams asked for, by service."))
	m.pauseRefusals, _ = meter.Int64Counter("forward_pause_refusals", metric.WithDescription("Requests refused because all upstreams had asked for a pause, by service."))
	m.aborted, _ = meter.Int64Counter("forward_streams_aborted", metric.WithDescription("Streams that had begun and were aborted, by service and cause."))
	m.domainShare, _ = meter.Float64Gauge("forward_domain_share", metric.WithDescription("Share of a service's new work that is sent to another failure domain."))
	m.leftDomain, _ = meter.Int64Counter("forward_left_domain", metric.WithDescription("Placements in another failure domain, by service, domain and reason."))
	m.turnedAway, _ = meter.Int64Counter("forward_waits_again", metric.WithDescription("Calls that wait again after upstreams turned them away without running them, by service."))
	return m
}

func (m *metrics) recordDomainShare(service string, domain model.FailureDomain, share float64) {
	m.domainShare.Record(context.Background(), share, metric.WithAttributes(attribute.String("service", service), attribute.String("domain", string(domain))))
}

func (m *metrics) countLeftDomain(service string, domain model.FailureDomain, reason string) {
	m.leftDomain.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("domain", string(domain)), attribute.String("reason", reason)))
}

func (m *metrics) countAbortedStream(service, cause string) {
	m.aborted.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("cause", cause)))
}

func (m *metrics) countTurnedAway(service string) {
	m.turnedAway.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

func (m *metrics) countPause(service string) {
	m.pauses.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

func (m *metrics) countPauseRefusal(service string) {
	m.pauseRefusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

func (m *metrics) countLeaving(service string) {
	m.leaving.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

func (m *metrics) countPromptQuery(answered bool) {
	m.promptQueries.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("answered", answered)))
}

func (m *metrics) countBadOutcome(service, cause string) {
	m.badOutcomes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("cause", cause)))
}

func (m *metrics) countProbe(service string) {
	m.probes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

func (m *metrics) countRequest(route model.HostRoute, outcome string, took time.Duration) {
	labels := metric.WithAttributes(attribute.String("route", route.Name), attribute.String("outcome", outcome))
	m.requests.Add(context.Background(), 1, labels)
	m.latency.Record(context.Background(), took.Seconds(), labels)
}

func (m *metrics) countLoss(service string, kind continuation.Loss) {
	m.losses.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("kind", string(kind))))
}

func (m *metrics) countResend(service, cause string) {
	m.resends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("cause", cause)))
}

func (m *metrics) recordFirstEvent(service string, fromCopy bool, took time.Duration) {
	m.firstEvent.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("service", service), attribute.Bool("from_copy", fromCopy)))
}

func (m *metrics) recordResume(service string, fromCopy bool, pause time.Duration) {
	m.resumePause.Record(context.Background(), pause.Seconds(), metric.WithAttributes(attribute.String("service", service), attribute.Bool("from_copy", fromCopy)))
}
