package model

import "context"

type traceParentKey struct{}

// WithTraceParent returns a context whose outbound calls continue a trace. Only
// the transport layer interprets the W3C trace context.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return context.WithValue(ctx, traceParentKey{}, parent)
}

// TraceParent returns the trace context that WithTraceParent set, or "".
func TraceParent(ctx context.Context) string {
	parent, _ := ctx.Value(traceParentKey{}).(string)
	return parent
}
