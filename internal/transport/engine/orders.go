package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/order"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
)

const maxStateBytes = 64 << 10

// defaultRetryAfter applies to a 429 without a usable Retry-After.
const defaultRetryAfter = time.Second

// OrderClient reads the state of engines and sends them orders to serve another
// state. It implements order.Engines.
type OrderClient struct {
	http   *http.Client
	tracer trace.Tracer
}

// NewOrders returns an Orders.
func NewOrders() *OrderClient {
	return &OrderClient{
		http:   &http.Client{Transport: keptconn.New(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: answerlimit.MaxHeadBytes})},
		tracer: otel.Tracer("sequoiavalve/orders"),
	}
}

// Close closes the idle connections.
func (o *OrderClient) Close() { o.http.CloseIdleConnections() }

// State implements order.Engines. For an engine that is loading, it returns the
// state that the engine is about to serve.
func (o *OrderClient) State(ctx context.Context, u model.Upstream) (order.State, error) {
	reply, err := o.exchange(ctx, u, http.MethodGet, engineapi.StatePath, nil)
	if err != nil {
		return order.State{}, err
	}
	adapters := slices.Sorted(slices.Values(reply.Desired.Adapters))
	return order.State{Model: reply.Desired.Model, Version: reply.Desired.Version, Adapters: adapters, Role: reply.Desired.Role}, nil
}

// Order implements order.Engines.
func (o *OrderClient) Order(ctx context.Context, u model.Upstream, fencing uint64, desired order.State) error {
	body, err := json.Marshal(engineapi.Order{
		Fencing: fencing,
		Desired: engineapi.State{Model: desired.Model, Version: desired.Version, Adapters: desired.Adapters, Role: desired.Role},
	})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	_, err = o.exchange(ctx, u, http.MethodPost, engineapi.OrdersPath, body)
	return err
}

func (o *OrderClient) exchange(ctx context.Context, u model.Upstream, method, path string, body []byte) (engineapi.StateReply, error) {
	ctx, span := o.tracer.Start(ctx, method+" "+path, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.Address+path, bytes.NewReader(body))
	if err != nil {
		return engineapi.StateReply{}, fmt.Errorf("build request: %w", err)
	}
	tracecontext.ToHeader(ctx, req.Header)
	resp, err := o.http.Do(req)
	if err != nil {
		return engineapi.StateReply{}, fmt.Errorf("%s %s of %s: %w", method, path, u.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil { // a status whose answer is not whole decides nothing
		return engineapi.StateReply{}, fmt.Errorf("%s %s of %s: %w", method, path, u.ID, err)
	}
	if resp.StatusCode != http.StatusOK {
		return engineapi.StateReply{}, orderError(u, resp)
	}
	var reply engineapi.StateReply
	return reply, json.Unmarshal(answer, &reply)
}

// orderError turns an engine's refusal into the order package's errors.
func orderError(u model.Upstream, resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusConflict:
		return order.ErrStaleFencing
	case http.StatusTooManyRequests:
		return &order.RetryAfterError{After: retryAfter(resp.Header.Get("Retry-After"))}
	}
	return errors.New("engine " + string(u.ID) + " answered " + resp.Status)
}

func retryAfter(header string) time.Duration {
	seconds, err := strconv.ParseUint(header, 10, 31) // limits the number of seconds, which could overflow a Duration
	if err != nil {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

var _ order.Engines = (*OrderClient)(nil)
