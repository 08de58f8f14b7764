// Package service is the HTTP client for plain services.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/call"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/hop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerend"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	oteltrace "go.opentelemetry.io/otel/trace"
)

const (
	dialTimeout = time.Second
	// maxResponseBytes limits the memory of one response. A larger response
	// ends the call with an unknown outcome, since it cannot be passed on in full.
	maxResponseBytes = 16 << 20
	// maxBufferedBytes limits the memory of all responses that are being read.
	maxBufferedBytes = 64 << 20
	maxIdlePerHost   = 16
	idleTimeout      = 30 * time.Second
	// maxStatus is the highest status of an answer. net/http's client accepts others.
	maxStatus  = 599
	tracerName = "github.com/sequoiavalve/sequoiavalve/internal/transport/service"
)

// Client implements call.Sender over HTTP/1.1.
type Client struct {
	unpooled *keptconn.Transport // opens a connection for each call; for calls that must not be repeated
	pooled   *keptconn.Transport // for idempotent calls
	memory   *answerlimit.Budget
}

// New returns a client.
func New() *Client {
	return &Client{
		unpooled: newTransport(false),
		pooled:   newTransport(true),
		memory:   answerlimit.NewBudget(maxBufferedBytes),
	}
}

func newTransport(reuse bool) *keptconn.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return keptconn.New(&http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: answerlimit.MaxHeadBytes,
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// Send implements call.Sender. It uses the transport without http.Client, so
// that no redirect is followed. net/http resends a request only on a reused
// connection; a call that is not idempotent gets a connection of its own and
// a body that cannot be rewound.
func (c *Client) Send(ctx context.Context, upstream model.Upstream, req call.Request) (call.Response, error) {
	ctx, span := startSpan(ctx, upstream, req)
	defer span.End()
	resp, err := c.send(ctx, upstream, req)
	if err != nil {
		span.RecordError(err)
		span.SetStatus(codes.Error, "no response")
		return call.Response{}, err
	}
	span.SetAttributes(attribute.Int("http.response.status_code", resp.Status))
	return resp, nil
}

func startSpan(ctx context.Context, upstream model.Upstream, req call.Request) (context.Context, oteltrace.Span) {
	ctx = tracecontext.Extract(ctx, req.TraceParent)
	return otel.Tracer(tracerName).Start(ctx, "service call",
		oteltrace.WithSpanKind(oteltrace.SpanKindClient),
		oteltrace.WithAttributes(
			attribute.String("request_id", string(req.ID)),
			attribute.String("upstream", string(upstream.ID)),
			attribute.String("http.route", req.Route.Path),
			attribute.Int("attempt", len(req.Tried)+1),
		))
}

func (c *Client) send(ctx context.Context, upstream model.Upstream, req call.Request) (call.Response, error) {
	out, err := newRequest(ctx, upstream, req)
	if err != nil {
		return call.Response{}, &call.SendError{Err: err}
	}
	in, use, err := c.transport(req).Exchange(out)
	if err != nil {
		return call.Response{}, &call.SendError{Sent: use.Sent(), Err: trace.ConnectionProblem(err, "upstream %q", upstream.ID)}
	}
	defer func() { _ = in.Body.Close() }() // readBody reports a failed read
	if in.StatusCode < http.StatusOK || in.StatusCode > maxStatus {
		use.Discard()
		return call.Response{}, &call.SendError{Sent: true, Err: trace.ConnectionProblem(nil, "upstream %q: status %d is not that of an answer", upstream.ID, in.StatusCode)}
	}
	reserved := answerlimit.Reserve(c.memory)
	defer reserved.Release()
	body, err := reserved.ReadAll(answerend.Body(ctx, in, func(ctx context.Context) error { return c.checkAlive(ctx, upstream) }), answerlimit.LengthOf(in), maxResponseBytes)
	if err != nil {
		return call.Response{}, &call.SendError{Sent: true, Err: trace.ConnectionProblem(err, "response of upstream %q", upstream.ID)}
	}
	return call.Response{Status: in.StatusCode, Header: hop.EndToEnd(in.Header), Body: body, Upstream: upstream.ID}, nil
}

// checkAlive returns an error unless the upstream answers a call, whatever the answer is.
func (c *Client) checkAlive(ctx context.Context, upstream model.Upstream) error {
	out, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+upstream.Address+engineapi.HealthPath, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	in, err := c.unpooled.RoundTrip(out)
	if err != nil {
		return trace.ConnectionProblem(err, "upstream %q does not answer: %v", upstream.ID, err)
	}
	return trace.Wrap(in.Body.Close())
}

func (c *Client) transport(req call.Request) *keptconn.Transport {
	if req.Route.Idempotent {
		return c.pooled
	}
	return c.unpooled
}

// onceReader hides the type of its reader, from which net/http would derive a
// way to rewind the body.
type onceReader struct{ io.Reader }

func newRequest(ctx context.Context, upstream model.Upstream, req call.Request) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: upstream.Address, Path: req.Path, RawQuery: req.Query}
	out, err := http.NewRequestWithContext(ctx, req.Method, target.String(), nil)
	if err != nil {
		return nil, trace.BadParameter("request for upstream %q: %v", upstream.ID, err)
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(onceReader{bytes.NewReader(req.Body)})
		out.ContentLength = int64(len(req.Body))
	}
	out.Header = hop.EndToEnd(req.Header)
	if req.IdempotencyKey != "" {
		out.Header.Set("Idempotency-Key", req.IdempotencyKey)
	}
	out.Header.Set("X-Request-ID", string(req.ID))
	tracecontext.ToHeader(ctx, out.Header)
	return out, nil
}
