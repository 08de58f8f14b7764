package relay

import (
	"context"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
)

// metrics are the relay's instruments. Their names are documented in
// docs/OPERATIONS.md.
type metrics struct {
	generationsEnded metric.Int64Counter     // generations, by outcome
	tokensAccepted   metric.Int64Counter     // tokens accepted from engines
	attemptsLost     metric.Int64Counter     // attempts, by kind of loss and action
	resumeTime       metric.Float64Histogram // seconds without output after a loss
	firstTokenTime   metric.Float64Histogram // seconds from the request to the first token
}

func newMetrics() *metrics {
	meter := otel.Meter("sequoiavalve/relay")
	m := &metrics{}
	// The API returns a working no-op instrument beside an error, and errors
	// arise only from invalid names.
	m.generationsEnded, _ = meter.Int64Counter("generations_ended", metric.WithDescription("Generations that ended, by outcome."))
	m.tokensAccepted, _ = meter.Int64Counter("tokens_accepted", metric.WithDescription("Tokens accepted from engines."))
	m.attemptsLost, _ = meter.Int64Counter("attempts_lost", metric.WithDescription("Attempts that were lost, by kind and next action."))
	m.resumeTime, _ = meter.Float64Histogram("resume_time", metric.WithUnit("s"),
		metric.WithDescription("Time without output after a loss."))
	m.firstTokenTime, _ = meter.Float64Histogram("first_token_time", metric.WithUnit("s"),
		metric.WithDescription("Time from the request to its first token."))
	return m
}

func (m *metrics) countEnd(r generation.Record) {
	outcome := "whole"
	if r.End != nil && r.End.Refusal != nil {
		outcome = r.End.Refusal.Code
	}
	m.generationsEnded.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
	m.tokensAccepted.Add(context.Background(), int64(len(r.Tokens)))
	if !r.FirstTokenAt.IsZero() {
		m.firstTokenTime.Record(context.Background(), r.FirstTokenAt.Sub(r.Created).Seconds())
	}
	for _, d := range r.OutageDurations {
		m.resumeTime.Record(context.Background(), d.Seconds())
	}
}

func (m *metrics) countLoss(kind continuation.Loss, action continuation.Action) {
	m.attemptsLost.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", string(kind)),
		attribute.String("action", string(action)),
	))
}
