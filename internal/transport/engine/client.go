// Package engine is the client of model engines. It implements relay.Engines:
// each stream has a goroutine that reads its events and passes them to
// relay.Events.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/relay"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

const (
	dialTimeout        = 500 * time.Millisecond // a frozen machine must not hold up a resume
	cancelTimeout      = 2 * time.Second
	maxIdlePerUpstream = 64
	maxEventBytes      = 1 << 20
	maxErrorBytes      = 4 << 10
)

// errDetached is the cause with which the connections of a cancelled or detached
// stream are cancelled.
var errDetached = errors.New("stream was cancelled")

// Client streams generations from engines over HTTP.
type Client struct {
	http   *http.Client
	tracer trace.Tracer

	// mu guards connections. It is a leaf lock: nothing else is locked under it.
	mu          sync.Mutex
	connections map[model.StreamID][]*connection
}

// connection is one HTTP exchange that carries a stream.
type connection struct {
	cancel context.CancelCauseFunc
}

// New returns a Client.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		http: &http.Client{Transport: keptconn.New(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerUpstream,
			DisableCompression:  true,

			MaxResponseHeaderBytes: answerlimit.MaxHeadBytes,
		})},
		tracer:      otel.Tracer("sequoiavalve/engine"),
		connections: map[model.StreamID][]*connection{},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Start implements relay.Engines.
func (c *Client) Start(up model.Upstream, req relay.StreamRequest, events relay.Events) string {
	body, err := json.Marshal(completionRequest(req))
	if err != nil {
		events.Lost(continuation.LossRejected, continuation.Detail{Cause: err.Error()})
		return ""
	}
	target := "http://" + up.Address + engineapi.CompletionsPath
	return c.run(up, req, "engine.start", events, func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	}, 0)
}

// Attach implements relay.Engines.
func (c *Client) Attach(up model.Upstream, req relay.StreamRequest, after int, timeout time.Duration, events relay.Events) string {
	target := streamURL(up, req.Stream) + "?after=" + strconv.Itoa(after)
	return c.run(up, req, "engine.attach", events, func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	}, timeout)
}

func streamURL(up model.Upstream, id model.StreamID) string {
	return "http://" + up.Address + engineapi.StreamPath + url.PathEscape(string(id))
}

// Cancel implements relay.Engines.
func (c *Client) Cancel(up model.Upstream, stream model.StreamID) {
	c.Detach(stream)
	go c.sendCancel(up, stream)
}

// Detach implements relay.Engines.
func (c *Client) Detach(stream model.StreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.connections[stream] {
		conn.cancel(errDetached)
	}
}

func (c *Client) sendCancel(up model.Upstream, stream model.StreamID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(up, stream), nil)
	if err != nil {
		return
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return // the engine cannot be reached, and its stream is lost
	}
	_ = resp.Body.Close()
}

func completionRequest(req relay.StreamRequest) engineapi.CompletionRequest {
	s := req.Spec.Sampling
	return engineapi.CompletionRequest{
		Model:        req.Spec.Model,
		Version:      req.Version,
		Adapter:      req.Spec.Adapter,
		Prompt:       req.Spec.Prompt,
		Stream:       true,
		MaxTokens:    s.MaxTokens,
		Temperature:  s.Temperature,
		TopP:         s.TopP,
		Seed:         s.Seed,
		Stop:         s.Stop,
		Priority:     int(req.Spec.Priority),
		StreamID:     string(req.Stream),
		ContinueFrom: req.Continue,
	}
}

// run starts the goroutine of one connection. A positive timeout bounds the
// wait for the response header. It returns the trace context of the attempt's
// span.
func (c *Client) run(up model.Upstream, req relay.StreamRequest, name string, events relay.Events,
	build func(context.Context) (*http.Request, error), timeout time.Duration) string {
	ctx, cancel := context.WithCancelCause(context.Background())
	conn := &connection{cancel: cancel}
	c.addConnection(req.Stream, conn)
	ctx, span := c.startSpan(ctx, name, up, req)
	go func() {
		defer c.removeConnection(req.Stream, conn)
		defer cancel(nil)
		defer span.End()
		kind, detail := c.exchange(ctx, cancel, build, timeout, events)
		if kind == "" {
			return
		}
		span.SetAttributes(attribute.String("loss", string(kind)))
		if !errors.Is(context.Cause(ctx), errDetached) {
			events.Lost(kind, detail)
		}
	}()
	return tracecontext.SampledParent(ctx)
}

// startSpan starts the span of one attempt, with a link to the attempt before
// it. After a takeover, the two attempts belong to different traces, and only
// the link connects them.
func (c *Client) startSpan(ctx context.Context, name string, up model.Upstream, req relay.StreamRequest) (context.Context, trace.Span) {
	ctx = tracecontext.Extract(ctx, req.Spec.TraceParent)
	return c.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), tracecontext.Link(req.PreviousTraceParent), trace.WithAttributes(
		attribute.String("request_id", string(req.Spec.Request)),
		attribute.String("upstream", string(up.ID)),
		attribute.String("stream", string(req.Stream)),
	))
}

func (c *Client) addConnection(id model.StreamID, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections[id] = append(c.connections[id], conn)
}

func (c *Client) removeConnection(id model.StreamID, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.connections[id]
	for i, other := range conns {
		if other == conn {
			conns = append(conns[:i:i], conns[i+1:]...)
			break
		}
	}
	if len(conns) == 0 {
		delete(c.connections, id)
		return
	}
	c.connections[id] = conns
}

// exchange sends the request and reads the stream. It returns the kind of loss,
// or "" if the stream was complete.
func (c *Client) exchange(ctx context.Context, cancel context.CancelCauseFunc,
	build func(context.Context) (*http.Request, error), timeout time.Duration, events relay.Events) (continuation.Loss, continuation.Detail) {
	req, err := build(ctx)
	if err != nil {
		return continuation.LossRejected, continuation.Detail{Cause: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	tracecontext.ToHeader(ctx, req.Header)
	stop := headerTimer(timeout, cancel)
	resp, err := c.http.Do(req)
	stop()
	if err != nil {
		return lossOf(err), continuation.Detail{Cause: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return lossOfStatus(resp)
	}
	if resp.Header.Get(engineapi.HeaderLeaving) == "true" {
		events.Lost(continuation.LossLeaving, continuation.Detail{Cause: "response header"})
	}
	return readStream(resp.Body, events)
}

// headerTimer cancels the exchange after the timeout, if it is positive. The
// returned function stops it.
func headerTimer(timeout time.Duration, cancel context.CancelCauseFunc) func() {
	if timeout <= 0 {
		return func() {}
	}
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return func() { timer.Stop() }
}

// lossOf returns the kind of loss: a failed connection attempt, a timeout, a broken
// answer, or a broken connection.
func lossOf(err error) continuation.Loss {
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial") {
		return continuation.LossDial
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return continuation.LossSilence
	}
	if errors.Is(err, keptconn.ErrBroken) { // the engine is alive: a failed request, and no failed connection
		return continuation.LossTruncated
	}
	return continuation.LossReset
}

// lossOfStatus returns the kind of loss of an answer with a status other than 200. Only a
// refusal that was read to its end decides: the rest of a longer one may be broken.
func lossOfStatus(resp *http.Response) (continuation.Loss, continuation.Detail) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes+1))
	switch {
	case errors.Is(err, keptconn.ErrBroken):
		return continuation.LossTruncated, continuation.Detail{Cause: err.Error()}
	case err != nil:
		return continuation.LossReset, continuation.Detail{Cause: err.Error()}
	case len(body) > maxErrorBytes:
		return continuation.LossStatus, continuation.Detail{Cause: fmt.Sprintf("status %d with more than %d bytes", resp.StatusCode, maxErrorBytes)}
	}
	detail := continuation.Detail{Cause: fmt.Sprintf("status %d", resp.StatusCode)}
	var reply engineapi.ErrorReply
	if json.Unmarshal(body, &reply) == nil {
		detail.EngineMessage = reply.Error.Message
	}
	switch resp.StatusCode {
	case http.StatusNotFound, http.StatusGone:
		return continuation.LossNoStream, detail
	case http.StatusConflict:
		return continuation.LossVersion, detail
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return continuation.LossBusy, detail
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError {
		return continuation.LossRejected, detail
	}
	return continuation.LossStatus, detail
}

// readStream passes the events of a stream to events until its end.
func readStream(body io.Reader, events relay.Events) (continuation.Loss, continuation.Detail) {
	ended := false
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			if ended {
				return "", continuation.Detail{}
			}
			return continuation.LossReset, continuation.Detail{Cause: err.Error()}
		}
		if event.Type == engineapi.EventLeaving {
			events.Lost(continuation.LossLeaving, continuation.Detail{Cause: "leaving event in the stream"})
			continue
		}
		if strings.TrimSpace(event.Data) == engineapi.EndOfStream {
			break
		}
		done, err := deliverChunk(event.Data, events)
		if err != nil {
			return continuation.LossWrongStream, continuation.Detail{Cause: err.Error()}
		}
		ended = ended || done
	}
	if ended {
		return "", continuation.Detail{}
	}
	return continuation.LossTruncated, continuation.Detail{Cause: "stream ended without a finish reason"}
}

// errChunkInvalid does not wrap the error of the decoder, which quotes its
// input: a part of the answer.
var errChunkInvalid = errors.New("chunk is not valid JSON")

// deliverChunk passes one chunk to events and reports whether it was the last
// one.
func deliverChunk(data string, events relay.Events) (bool, error) {
	var chunk engineapi.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return false, errChunkInvalid
	}
	if len(chunk.Choices) != 1 {
		return false, fmt.Errorf("chunk has %d choices, want 1", len(chunk.Choices))
	}
	choice := chunk.Choices[0]
	if len(choice.Tokens) > 0 {
		events.Tokens(chunk.ID, choice.Position, choice.Tokens)
	}
	if choice.FinishReason == "" {
		return false, nil
	}
	events.Ended(chunk.ID, choice.Position+len(choice.Tokens), choice.FinishReason)
	return true, nil
}
