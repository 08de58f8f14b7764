package platform_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
	standin "github.com/sequoiavalve/sequoiavalve/internal/transport/standin/platform"
)

// dropSecond serves one request on each connection and closes the connection
// after it has read the second. net/http resends such a request if it regards
// the request as safe to repeat.
func dropSecond(t *testing.T, seen *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOne(conn, seen)
		}
	}()
	return "http://" + listener.Addr().String()
}

func serveOne(conn net.Conn, seen *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for answered := false; ; answered = true {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		buffer := make([]byte, request.ContentLength)
		_, _ = request.Body.Read(buffer)
		seen.Add(1)
		if answered {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 2\r\n\r\n{}"))
	}
}

// Guards against net/http sending a write again on a new connection when the
// connection that it reused dies. The GET, which net/http does resend, shows that
// the server provokes it.
func TestWritesAreNeverResent(t *testing.T) {
	for name, test := range map[string]struct {
		second func(rows *platform.Rows[record]) error
		want   error
		seen   int64
	}{
		"GET is resent": {func(rows *platform.Rows[record]) error {
			_, err := rows.Get(context.Background(), "k")
			return err
		}, nil, 3},
		"PUT": {func(rows *platform.Rows[record]) error {
			_, err := rows.Put(context.Background(), "k", record{}, store.NoRow)
			return err
		}, store.ErrUnknownOutcome, 2},
		"DELETE": {func(rows *platform.Rows[record]) error {
			return rows.Delete(context.Background(), "k", `"1"`)
		}, store.ErrUnknownOutcome, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var seen atomic.Int64
			client, err := platform.New(platform.Options{BaseURL: dropSecond(t, &seen)})
			assert.NilError(t, err)
			defer client.Close()
			rows := platform.NewRows[record](client, "t")
			_, err = rows.Get(t.Context(), "k")
			assert.NilError(t, err)
			assert.Assert(t, errors.Is(test.second(rows), test.want))
			assert.Equal(t, seen.Load(), test.seen)
		})
	}
}

// Guards against a refused connection that is taken for a lost answer.
func TestDialFailureHasNoEffect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	client, err := platform.New(platform.Options{BaseURL: "http://" + listener.Addr().String()})
	assert.NilError(t, err)
	_, err = platform.NewRows[record](client, "t").Put(t.Context(), "k", record{}, store.NoRow)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against a call that is classified by its method or status alone.
func TestAnswersAreClassified(t *testing.T) {
	const notApplied = `{"error":{"code":"not_applied","message":"m"}}`
	for name, test := range map[string]struct {
		status     int
		body       string
		put, get   error
		withNoETag bool
	}{
		"503 not applied": {status: 503, body: notApplied, put: store.ErrUnavailable, get: store.ErrUnavailable},
		"503 of a proxy":  {status: 503, body: "down", put: store.ErrUnknownOutcome, get: store.ErrUnavailable},
		"502 not applied": {status: 502, body: notApplied, put: store.ErrUnknownOutcome, get: store.ErrUnavailable},
		"500":             {status: 500, put: store.ErrUnknownOutcome, get: store.ErrUnavailable},
		"redirect":        {status: 307, put: store.ErrUnknownOutcome, get: store.ErrUnavailable},
		"412":             {status: 412, put: store.ErrConflict, get: store.ErrConflict},
		"404":             {status: 404, put: store.ErrNotFound, get: store.ErrNotFound},
		"400":             {status: 400, put: store.ErrUnavailable, get: store.ErrUnavailable},
		"200 no ETag":     {status: 200, put: store.ErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			client, err := platform.New(platform.Options{BaseURL: server.URL})
			assert.NilError(t, err)
			rows := platform.NewRows[record](client, "t")
			_, err = rows.Put(t.Context(), "k", record{}, store.NoRow)
			assert.ErrorIs(t, err, test.put)
			_, err = rows.Get(t.Context(), "k")
			assert.Assert(t, err != nil && (test.get == nil || errors.Is(err, test.get)), "%v", err)
		})
	}
}

// Guards against a write that timed out after it was sent being reported as
// without effect, and against a write that was never sent, as its context had
// ended, being reported with an unknown outcome.
func TestTimeoutsAreClassifiedByWhatWasSent(t *testing.T) {
	server := httptest.NewServer(standin.New(standin.Options{Faults: standin.Faults{LatencyMS: 400}}))
	defer server.Close()
	client, err := platform.New(platform.Options{BaseURL: server.URL, Timeout: 50 * time.Millisecond})
	assert.NilError(t, err)
	rows := platform.NewRows[record](client, "t")
	_, err = rows.Put(t.Context(), "k", record{}, store.NoRow)
	assert.ErrorIs(t, err, store.ErrUnknownOutcome)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = rows.Get(t.Context(), "k")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = rows.Put(ended, "k", record{}, store.NoRow)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against a trace that ends at the client.
func TestTraceContextIsPassedOn(t *testing.T) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	otel.SetTracerProvider(sdktrace.NewTracerProvider())
	var got atomic.Value
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got.Store(r.Header.Get("traceparent"))
	}))
	defer server.Close()
	client, err := platform.New(platform.Options{BaseURL: server.URL})
	assert.NilError(t, err)
	ctx, span := otel.Tracer("test").Start(t.Context(), "caller")
	defer span.End()
	assert.NilError(t, platform.NewObjects(client).PutObject(ctx, "k", []byte("b")))
	assert.Assert(t, strings.Contains(got.Load().(string), span.SpanContext().TraceID().String()))
	assert.Assert(t, !strings.Contains(got.Load().(string), span.SpanContext().SpanID().String()))
}

// Guards against a list that shows changes before its lag has passed, or that
// loses a machine's state.
func TestListLags(t *testing.T) {
	f := newFixture(t)
	directory := platform.NewDirectory(f.client)
	upstream := model.Upstream{ID: "e1", Kind: model.KindEngine, Address: "127.0.0.1:9", Serves: "m", Version: "v1"}
	assert.NilError(t, directory.RegisterUpstream(t.Context(), upstream, false))
	f.standin.SetFaults(standin.Faults{ListLagMS: 200})
	machines, err := directory.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(machines.Upstreams), 0)
	time.Sleep(250 * time.Millisecond)
	assert.NilError(t, directory.RegisterUpstream(t.Context(), upstream, true))
	machines, err = directory.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, machines.Upstreams, []platform.ListedUpstream{{Upstream: upstream}})
	f.standin.SetFaults(standin.Faults{})
	machines, err = directory.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, machines.Upstreams, []platform.ListedUpstream{{Upstream: upstream, Leaving: true}})
	assert.NilError(t, directory.Remove(t.Context(), "e1"))
	machines, err = directory.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(machines.Upstreams), 0)
}

// Guards against a TLS handshake that counts as a part of the request, and
// against a server whose certificate is not checked.
func TestTLS(t *testing.T) {
	server := httptest.NewTLSServer(standin.New(standin.Options{}))
	defer server.Close()
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	trusting, err := platform.New(platform.Options{
		BaseURL: server.URL,
		TLS:     server.Client().Transport.(*http.Transport).TLSClientConfig,
	})
	assert.NilError(t, err)
	defer trusting.Close()
	_, err = platform.NewRows[record](trusting, "t").Put(t.Context(), "k", record{}, store.NoRow)
	assert.NilError(t, err)
	strict, err := platform.New(platform.Options{BaseURL: server.URL})
	assert.NilError(t, err)
	_, err = platform.NewRows[record](strict, "t").Put(t.Context(), "k", record{}, store.NoRow)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}
