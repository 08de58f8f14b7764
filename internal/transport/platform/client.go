// Package platform is the client of the platform's tables, objects, weights
// and list of machines.
//
// Each method makes one call and never repeats it: the caller knows whether a
// repeat is safe. Methods block on the network and must not run on a pool
// worker. Errors match those of package store; as an *Error they carry the
// status and the time to wait.
package platform

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
)

const (
	defaultTimeout = 2 * time.Second
	// idleTimeout is below the usual 60 s of servers, so that the client seldom
	// writes to a connection that the server just closed.
	idleTimeout    = 20 * time.Second
	maxIdleConns   = 32
	maxAnswerBytes = 64 << 20
	tracerName     = "github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
)

// Options configure a Client.
type Options struct {
	BaseURL string        // such as "http://127.0.0.1:7000"
	Timeout time.Duration // for one call including its body; zero means 2 s
	TLS     *tls.Config   // for an https BaseURL; nil means the defaults
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	base       string
	timeout    time.Duration
	http       *http.Client
	lastAnswer *lastAnswer
}

// New returns a client. It opens no connection yet.
func New(opts Options) (*Client, error) {
	base, err := url.Parse(opts.BaseURL)
	if err != nil {
		return nil, trace.BadParameter("platform URL %q is invalid: %v", opts.BaseURL, err)
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, trace.BadParameter("platform URL %q is not an http or https URL", opts.BaseURL)
	}
	timeout := opts.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return &Client{
		base:       strings.TrimSuffix(opts.BaseURL, "/"),
		timeout:    timeout,
		http:       newHTTPClient(opts.TLS),
		lastAnswer: newLastAnswer(),
	}, nil
}

// newHTTPClient returns a client that speaks HTTP/1.1 only and follows no
// redirect, since both HTTP/2 and redirects can resend a request.
func newHTTPClient(config *tls.Config) *http.Client {
	dial := &dialer{tls: config}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: keptconn.New(&http.Transport{
			DialContext:         dial.dial,
			DialTLSContext:      dial.dialTLS,
			Protocols:           protocols,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: answerlimit.MaxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// call describes one request.
type call struct {
	op     string // method and kind of resource, for spans and errors
	method string
	path   string // escaped
	query  string
	header http.Header
	body   []byte
	// compressed asks for a compressed answer, which saves traffic where answers
	// are large. Rows are read uncompressed: a precondition needs the entity
	// tag of the uncompressed answer.
	compressed bool
}

func (c call) isWrite() bool {
	return c.method != http.MethodGet
}

// answer is a successful answer.
type answer struct {
	etag string
	body []byte
}

// do makes the call under a span.
func (c *Client) do(ctx context.Context, request call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, span := otel.Tracer(tracerName).Start(tracecontext.Continue(ctx), "platform "+request.op,
		oteltrace.WithSpanKind(oteltrace.SpanKindClient),
		oteltrace.WithAttributes(attribute.String("http.request.method", request.method)))
	defer span.End()
	result, err := c.exchange(ctx, request)
	if err != nil {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Kind.Error())
		return answer{}, trace.Wrap(err)
	}
	return result, nil
}

// exchange sends the request once and classifies what came back.
func (c *Client) exchange(ctx context.Context, request call) (answer, *Error) {
	tracker := &sendTracker{}
	httpRequest, err := c.newRequest(tracker.watch(ctx), request)
	if err != nil {
		return answer{}, &Error{Op: request.op, Kind: kindOfLoss(request.isWrite(), false), Cause: err}
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return answer{}, &Error{Op: request.op, Kind: kindOfLoss(request.isWrite(), tracker.anySent()), Cause: err}
	}
	c.lastAnswer.record()
	defer func() { _ = response.Body.Close() }()
	body, err := readAnswer(response)
	if errors.Is(err, keptconn.ErrBroken) {
		return answer{}, &Error{Op: request.op, Kind: kindOfLoss(request.isWrite(), true), Cause: err}
	}
	if kind := kindOfStatus(request.isWrite(), response.StatusCode, problemCode(body)); kind != nil {
		return answer{}, &Error{
			Op:         request.op,
			Kind:       kind,
			Status:     response.StatusCode,
			Code:       problemCode(body),
			RetryAfter: retryAfter(response.Header),
			Cause:      err,
		}
	}
	// The status line of a write says that it took effect, so a body that is
	// cut short matters to reads only.
	if err != nil && !request.isWrite() {
		return answer{}, &Error{Op: request.op, Kind: kindOfLoss(false, true), Status: response.StatusCode, Cause: err}
	}
	return answer{etag: response.Header.Get("ETag"), body: body}, nil
}

// newRequest encodes the request. Its body cannot be rewound and it has no
// Idempotency-Key, so that net/http cannot send a write a second time.
func (c *Client) newRequest(ctx context.Context, request call) (*http.Request, error) {
	target := c.base + request.path
	if request.query != "" {
		target += "?" + request.query
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, target, nil)
	if err != nil {
		return nil, err
	}
	if len(request.body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(request.body))
		httpRequest.ContentLength = int64(len(request.body))
		httpRequest.GetBody = nil
	}
	for name, values := range request.header {
		httpRequest.Header[name] = values
	}
	if request.compressed {
		httpRequest.Header.Set("Accept-Encoding", platformapi.Gzip)
	}
	tracecontext.ToHeader(ctx, httpRequest.Header)
	return httpRequest, nil
}

// readAnswer reads a body of at most maxAnswerBytes after decompression.
func readAnswer(response *http.Response) ([]byte, error) {
	body := io.Reader(response.Body)
	if strings.EqualFold(response.Header.Get("Content-Encoding"), platformapi.Gzip) {
		decompressed, err := gzip.NewReader(body)
		if err != nil {
			return nil, err
		}
		body = decompressed
	}
	read, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(read) > maxAnswerBytes {
		return nil, fmt.Errorf("answer is longer than %d bytes", maxAnswerBytes)
	}
	return read, nil
}
