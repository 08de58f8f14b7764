// Package backend sends forwarded requests to upstreams over HTTP/1.1 and reads
// their answers and event streams.
package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerend"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"
)

const (
	// dialTimeout bounds a connection attempt. Upstreams accept within a few
	// milliseconds, and a request that was not sent can go elsewhere.
	dialTimeout = 400 * time.Millisecond
	// maxAnswerBytes bounds the memory of one whole answer.
	maxAnswerBytes = 16 << 20
	// maxBufferedBytes bounds the memory of all answers and events that are being
	// read, unless LimitMemory sets another bound.
	maxBufferedBytes = 32 << 20
	maxIdlePerHost   = 4
	// idleTimeout is shorter than the idle timeout of common upstreams: they may
	// close an idle connection while a request is on its way to them.
	idleTimeout = 2 * time.Second
	tracerName  = "sequoiavalve/backend"
)

// Client implements forward.Sender.
type Client struct {
	names    forwardwire.Names
	engine   EngineAPI
	unpooled *keptconn.Transport // opens a connection for each request
	pooled   *keptconn.Transport // for requests that may run more than once
	memory   answerlimit.Memory
	badPause sync.Once // logs the first malformed pause
	tracer   oteltrace.Tracer
}

// New returns a client that uses the given header names and engine calls.
func New(names forwardwire.Names, engine EngineAPI) *Client {
	return &Client{
		names:    names,
		engine:   engine,
		unpooled: newTransport(false, dialTimeout),
		pooled:   newTransport(true, dialTimeout),
		memory:   answerlimit.NewBudget(maxBufferedBytes),
		tracer:   otel.Tracer(tracerName),
	}
}

func newTransport(reuse bool, dialLimit time.Duration) *keptconn.Transport {
	dialer := &net.Dialer{Timeout: dialLimit}
	return keptconn.New(&http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: answerlimit.MaxHeadBytes,
	})
}

// LimitMemory makes answers be read into the given memory. It must be called before the
// first request.
func (c *Client) LimitMemory(m answerlimit.Memory) { c.memory = m }

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Start implements forward.Sender.
func (c *Client) Start(s forward.Send, receiver forward.Receiver) (cancel func()) {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		defer stop()
		c.run(ctx, s, receiver)
	}()
	return stop
}

// run sends the request to the upstream once and reports the result to the
// receiver.
func (c *Client) run(ctx context.Context, s forward.Send, receiver forward.Receiver) {
	ctx, span := c.tracer.Start(tracecontext.Extract(ctx, s.Request.TraceParent), "forward send", oteltrace.WithSpanKind(oteltrace.SpanKindClient),
		oteltrace.WithAttributes(
			attribute.String("request_id", string(s.Request.ID)),
			attribute.String("upstream", string(s.Upstream.ID)),
		))
	defer span.End()
	in, use, err := c.transport(s).Exchange(c.request(ctx, s))
	if err != nil {
		receiver.Lost(lossOf(err, use.Sent()), err.Error(), use.Sent())
		return
	}
	defer func() { _ = in.Body.Close() }() // a failed read is reported where it happens
	c.receive(ctx, s, in, use, receiver)
}

// transport returns the transport for a send. Without an ID, an answer to the request
// cannot be told from a late answer to another request on the same connection.
func (c *Client) transport(s forward.Send) *keptconn.Transport {
	if s.ReuseConnection && s.Request.ID != "" {
		return c.pooled
	}
	return c.unpooled
}

// onceReader hides the type of its reader, from which net/http would derive a
// way to send the body again.
type onceReader struct{ io.Reader }

func (c *Client) request(ctx context.Context, s forward.Send) *http.Request {
	target := forwardwire.Target{Path: s.Request.Path, Query: s.Request.Query, EmptyQuery: s.Request.EmptyQuery}
	out := &http.Request{
		Method:     s.Request.Method,
		URL:        target.URL(s.Upstream.Address),
		Host:       s.Request.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     c.names.EncodeSend(s, time.Now()),
	}
	if len(s.Request.Body) > 0 {
		out.Body = io.NopCloser(onceReader{bytes.NewReader(s.Request.Body)})
		out.ContentLength = int64(len(s.Request.Body))
	}
	return out.WithContext(ctx)
}

// receive reads the response and passes it to the receiver.
func (c *Client) receive(ctx context.Context, s forward.Send, in *http.Response, use *keptconn.Use, receiver forward.Receiver) {
	verdict := c.names.Judge(s.Request.ID, use.Kept(), in.StatusCode, in.Header)
	if verdict.BadPause != "" {
		c.badPause.Do(func() {
			log.WithField("part", "backend").WithField("upstream", string(s.Upstream.ID)).WithField("value", verdict.BadPause).
				Warn("an upstream asks for a pause that is malformed or too long; further ones are not logged")
		})
	}
	if verdict.Leaving && verdict.Own && !verdict.Elsewhere {
		receiver.UpstreamLeaving()
	}
	switch {
	case !verdict.Own:
		use.Discard()
		receiver.Lost(continuation.LossWrongStream, "answer does not have the ID of the request", true)
	case verdict.Invalid != "":
		use.Discard()
		receiver.Lost(continuation.LossStatus, verdict.Invalid, true)
	case s.Stream && in.StatusCode == http.StatusOK && mayHaveEvents(in.Header):
		receiver.StreamBegan(in.StatusCode, c.names.Answered(in.Header))
		readEvents(c.body(ctx, s, in), answerend.IsDelimited(in), c.memory, receiver)
	default:
		c.readAnswer(ctx, s, in, verdict, receiver)
	}
}

// mayHaveEvents reports whether the header is that of an event stream. An answer without
// a content type is taken for one.
func mayHaveEvents(in http.Header) bool {
	mediaType, _, _ := strings.Cut(in.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	return mediaType == "" || strings.EqualFold(mediaType, "text/event-stream")
}

// body returns a reader of the answer's body that reports an error if the answer has no
// length and the upstream has not outlived it.
func (c *Client) body(ctx context.Context, s forward.Send, in *http.Response) io.Reader {
	return answerend.Body(ctx, in, func(ctx context.Context) error {
		err := c.checkAlive(ctx, s)
		entry := log.WithField("part", "backend").WithField("request_id", string(s.Request.ID)).WithField("upstream", string(s.Upstream.ID))
		if err != nil {
			entry.WithError(err).Info("answer without a length ended, and its upstream may have crashed")
			return err
		}
		entry.Info("answer without a length ended, and its upstream is alive")
		return nil
	})
}

func (c *Client) readAnswer(ctx context.Context, s forward.Send, in *http.Response, verdict forwardwire.Verdict, receiver forward.Receiver) {
	reserved := answerlimit.Reserve(c.memory)
	defer reserved.Release()
	var answer io.Reader = in.Body
	if !verdict.NotRun { // the head of a refusal is enough, unless its body is malformed
		answer = c.body(ctx, s, in)
	}
	body, err := reserved.ReadAll(answer, answerlimit.LengthOf(in), maxAnswerBytes)
	if err != nil && (!verdict.NotRun || !isShortened(err)) {
		receiver.Lost(continuation.LossTruncated, err.Error(), true)
		return
	}
	// What waits for the caller reserves the body for itself. Counted twice, an answer of
	// half the memory could not be passed on.
	reserved.Release()
	receiver.Answered(forward.Answer{
		Status:            in.StatusCode,
		Header:            c.names.Answered(in.Header),
		Body:              body,
		NotRun:            verdict.NotRun,
		AddressReassigned: verdict.Elsewhere,
		Pause:             verdict.Pause,
		CurrentUpstream:   verdict.Answering,
	})
}

// isShortened reports whether the bytes of a body that could not be read whole were sound:
// it was cut, or is larger than the limits of size or memory allow.
func isShortened(err error) bool {
	if errors.Is(err, keptconn.ErrBroken) { // it may wrap the errors below
		return false
	}
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, answerlimit.ErrTooLarge) || errors.Is(err, answerlimit.ErrBudget)
}

// lossOf returns the kind of loss: a failed connection attempt, an answer to another
// request, a timeout, a broken answer, or a broken connection.
func lossOf(err error, sent bool) continuation.Loss {
	var timeout net.Error
	switch {
	case !sent:
		return continuation.LossDial
	case errors.Is(err, keptconn.ErrEarlyAnswer):
		return continuation.LossWrongStream
	case errors.As(err, &timeout) && timeout.Timeout():
		return continuation.LossSilence
	case errors.Is(err, keptconn.ErrBroken): // its upstream is alive: a failed request, and no failed connection
		return continuation.LossTruncated
	default:
		return continuation.LossReset
	}
}
