package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	stdlog "log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	kratos "github.com/go-kratos/kratos/v2/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	"gotest.tools/v3/assert"
)

func logger(t *testing.T, out *bytes.Buffer, format string) *log.Logger {
	t.Helper()
	handler, err := NewHandler(out, format)
	assert.NilError(t, err)
	return &log.Logger{Handler: handler, Level: log.InfoLevel}
}

// Guards against prompts and credentials in logs, and against a message that
// forges a second line.
func TestHandlerPrefixesAndRedacts(t *testing.T) {
	fields := log.Fields{"part": "relay", "prompt": "SECRET", "Authorization": "SECRET", "text": "SECRET", "tokens": 7, "request_id": "a b"}
	var text, encoded bytes.Buffer
	logger(t, &text, FormatText).WithFields(fields).Warn("stream lost")
	logger(t, &text, FormatText).WithField("part", "relay").Warn("stream\nlost")
	lines := strings.Split(text.String(), "\n")
	assert.Assert(t, strings.HasSuffix(lines[0], `warn  relay: stream lost request_id="a b" tokens=7`), lines[0])
	assert.Equal(t, len(lines), 3)

	logger(t, &encoded, FormatJSON).WithFields(fields).Warn("stream lost")
	var entry jsonEntry
	assert.NilError(t, json.Unmarshal(encoded.Bytes(), &entry))
	assert.Equal(t, entry.Message, "relay: stream lost")
	assert.Equal(t, entry.Fields["tokens"], 7.0)
	assert.Assert(t, !strings.Contains(text.String()+encoded.String(), "SECRET"))
}

// lockedBuffer is a buffer that timers write to.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against a fault that repeats for each request and fills the log, and
// against entries that are dropped without a count.
func TestFloodControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out lockedBuffer
		handler, err := NewHandler(&out, FormatText)
		assert.NilError(t, err)
		flood := NewFloodControl(handler, 2, 10*time.Second)
		relay := (&log.Logger{Handler: flood}).WithField("part", "relay")
		for range 100 {
			relay.Info("stream lost")
		}
		relay.Info("other")
		assert.Equal(t, strings.Count(out.String(), "stream lost"), 2)
		time.Sleep(11 * time.Second)
		synctest.Wait()
		assert.Assert(t, strings.Contains(out.String(), "relay: stream lost (held back 98 more within 10s)"), out.String())
		relay.Info("stream lost")
		assert.Equal(t, strings.Count(out.String(), "stream lost"), 4)
		time.Sleep(11 * time.Second)
		for range 5000 {
			relay.Info("varying " + time.Now().String())
			time.Sleep(time.Millisecond)
		}
		flood.mu.Lock()
		assert.Assert(t, len(flood.counts) <= floodMessages+1)
		flood.mu.Unlock()
		time.Sleep(11 * time.Second)
	})
}

// Guards against metrics that are not exported, buckets for milliseconds, and
// spans that do not continue a caller's trace.
func TestSetup(t *testing.T) {
	var mu sync.Mutex
	var paths []string
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		paths = append(paths, r.URL.Path)
	}))
	defer collector.Close()
	before := log.Log
	defer func() { log.Log = before }()
	tel, err := Setup(Options{Process: "entryd", Instance: "a-1", LogOutput: &bytes.Buffer{}, TraceEndpoint: collector.URL + "/v1/traces", TraceSample: 1})
	assert.NilError(t, err)

	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	ctx := otel.GetTextMapPropagator().Extract(context.Background(), propagation.MapCarrier{"traceparent": parent})
	_, span := otel.Tracer("test").Start(ctx, "relay")
	assert.Equal(t, span.SpanContext().TraceID().String(), parent[3:35])
	span.End()
	latency, err := otel.Meter("test").Float64Histogram("first_token", metric.WithUnit("s"))
	assert.NilError(t, err)
	latency.Record(ctx, 0.3)

	answer := httptest.NewRecorder()
	tel.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Assert(t, strings.Contains(answer.Body.String(), `first_token_seconds_bucket{le="0.31"} 1`), answer.Body.String())
	assert.Assert(t, strings.Contains(answer.Body.String(), "process_cpu_seconds_total"))
	assert.NilError(t, tel.Shutdown(context.Background()))
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, paths, []string{"/v1/traces"})
}

// Guards against log lines of libraries that bypass the handler, and with it its
// format and the flood control.
func TestLibrariesLogThroughTheHandler(t *testing.T) {
	before, writer, flags := log.Log, stdlog.Writer(), stdlog.Flags()
	defer func() {
		log.Log = before
		stdlog.SetOutput(writer)
		stdlog.SetFlags(flags)
		kratos.SetLogger(kratos.DefaultLogger)
	}()
	var out bytes.Buffer
	handler, err := NewHandler(&out, FormatText)
	assert.NilError(t, err)
	log.Log = &log.Logger{Handler: handler, Level: log.InfoLevel}
	redirectLibraries()
	stdlog.Print("http: accept failed\nsecond line")
	kratos.Infow("msg", "server stopping", "address", "a")
	kratos.Debugf("not at this level")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2, out.String())
	assert.Assert(t, strings.HasSuffix(lines[0], `warn  "library: http: accept failed\nsecond line"`), lines[0])
	assert.Assert(t, strings.HasSuffix(lines[1], "info  library: server stopping address=a"), lines[1])
}

// Guards against a process that starts with unknown settings.
func TestSetupRefusesUnknownValues(t *testing.T) {
	_, err := Setup(Options{LogFormat: "xml"})
	assert.ErrorContains(t, err, `not "xml"`)
	_, err = Setup(Options{LogLevel: "loud"})
	assert.ErrorContains(t, err, `not "loud"`)
}
