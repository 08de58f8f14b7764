// Package tracecontext converts between the spans of OpenTelemetry and the W3C
// trace contexts that other layers and processes hand on as text.
package tracecontext

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const field = "traceparent"

var propagator propagation.TraceContext

// Parent returns the trace context of ctx's span, or "" without one.
func Parent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[field]
}

// SampledParent is Parent for a span that is recorded. Others return "", so
// that messages and copies do not carry the contexts of spans that are not stored.
func SampledParent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	return Parent(ctx)
}

// Extract returns a context whose spans are children of the given trace context.
func Extract(ctx context.Context, parent string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{field: parent})
}

// Continue returns a context whose spans are children of the span that
// model.WithTraceParent has set, unless ctx has a span of its own.
func Continue(ctx context.Context) context.Context {
	parent := model.TraceParent(ctx)
	if parent == "" || trace.SpanContextFromContext(ctx).IsValid() {
		return ctx
	}
	return Extract(ctx, parent)
}

// FromHeader returns a context whose spans are children of the sender's span.
func FromHeader(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// ToHeader writes the trace context of ctx's span.
func ToHeader(ctx context.Context, header http.Header) {
	header.Del(field)
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Link returns the option that links a new span to an earlier one. It has no
// effect for an empty or invalid trace context.
func Link(earlier string) trace.SpanStartOption {
	span := trace.SpanContextFromContext(Extract(context.Background(), earlier))
	if !span.IsValid() {
		return trace.WithLinks()
	}
	return trace.WithLinks(trace.Link{SpanContext: span})
}
