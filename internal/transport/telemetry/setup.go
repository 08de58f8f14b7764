package telemetry

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/propagation"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// secondsBuckets are the bounds of histograms in seconds. They are finest
// around the latency targets: 62 ms between tokens, 0.31 s for the first token, 5 s
// for a resumed stream. The library's default bounds are for milliseconds.
var secondsBuckets = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.02, 0.04, 0.062, 0.1, 0.15, 0.2, 0.31, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 30, 60, 300,
}

// Telemetry holds the logs, metrics and traces of a process.
type Telemetry struct {
	Metrics *sdkmetric.MeterProvider
	Traces  *sdktrace.TracerProvider

	registry *prometheus.Registry
	flood    *FloodControl
	writer   *asyncWriter
}

// Setup configures the process: the global apex logger, which also receives the
// log lines of libraries, the global OpenTelemetry providers and the W3C
// propagator. It starts no listener.
func Setup(opts Options) (*Telemetry, error) {
	flood, writer, err := setupLog(opts)
	if err != nil {
		return nil, err
	}
	t := &Telemetry{registry: prometheus.NewRegistry(), flood: flood, writer: writer}
	res := newResource(opts)
	if t.Metrics, err = newMetrics(t.registry, res); err != nil {
		return nil, err
	}
	if t.Traces, err = newTraces(opts, res); err != nil {
		return nil, err
	}
	t.install()
	return t, nil
}

// Handler serves the metrics in Prometheus' text format.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Shutdown exports the last spans and writes the pending log summaries.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	err := errors.Join(t.Traces.Shutdown(ctx), t.Metrics.Shutdown(ctx))
	t.flood.Flush()
	t.writer.Close()
	return trace.Wrap(err)
}

func (t *Telemetry) install() {
	otel.SetMeterProvider(t.Metrics)
	otel.SetTracerProvider(t.Traces)
	otel.SetTextMapPropagator(propagation.NewCompositeTextMapPropagator(
		propagation.TraceContext{}, propagation.Baggage{}))
	otel.SetErrorHandler(otel.ErrorHandlerFunc(logExportError))
	redirectLibraries()
}

// logExportError logs errors of the exporters, such as an unreachable collector.
func logExportError(err error) {
	log.WithField(partField, "telemetry").WithError(err).Warn("export of metrics or traces failed")
}

func setupLog(opts Options) (*FloodControl, *asyncWriter, error) {
	out := opts.LogOutput
	if out == nil {
		out = os.Stderr
	}
	level := log.InfoLevel
	if opts.LogLevel != "" {
		var err error
		if level, err = log.ParseLevel(opts.LogLevel); err != nil {
			return nil, nil, trace.BadParameter("log level must be debug, info, warn or error, not %q", opts.LogLevel)
		}
	}
	format, err := formatOf(opts.LogFormat)
	if err != nil {
		return nil, nil, err
	}
	writer := newAsyncWriter(out, func(dropped int64) []byte { return format(droppedEntry(dropped)) })
	flood := NewFloodControl(&Handler{format: format, out: writer}, cmp.Or(opts.FloodLimit, floodLimit), floodWindow)
	log.SetHandler(flood)
	log.SetLevel(level)
	return flood, writer, nil
}

// droppedEntry returns the entry that states how many lines were dropped.
func droppedEntry(lines int64) *log.Entry {
	return &log.Entry{
		Timestamp: time.Now(),
		Level:     log.WarnLevel,
		Message:   "lines were dropped, as the reader of the log is slow",
		Fields:    log.Fields{partField: "telemetry", "lines": lines},
	}
}

func newResource(opts Options) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", opts.Process),
		attribute.String("service.instance.id", opts.Instance),
		attribute.String("region", opts.Region),
		attribute.String("failure_domain", opts.FailureDomain),
	)
}

func newMetrics(registry *prometheus.Registry, res *resource.Resource) (*sdkmetric.MeterProvider, error) {
	// The collectors export the CPU time and memory that the control budget limits.
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, trace.Wrap(err, "metrics exporter")
	}
	return sdkmetric.NewMeterProvider(
		sdkmetric.WithReader(exporter),
		sdkmetric.WithResource(res),
		sdkmetric.WithView(secondsView()),
	), nil
}

// secondsView applies secondsBuckets to histograms with the unit s.
func secondsView() sdkmetric.View {
	return sdkmetric.NewView(
		sdkmetric.Instrument{Kind: sdkmetric.InstrumentKindHistogram, Unit: "s"},
		sdkmetric.Stream{Aggregation: sdkmetric.AggregationExplicitBucketHistogram{Boundaries: secondsBuckets}},
	)
}

func newTraces(opts Options, res *resource.Resource) (*sdktrace.TracerProvider, error) {
	if opts.TraceEndpoint == "" {
		return sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())), nil
	}
	exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(opts.TraceEndpoint))
	if err != nil {
		return nil, trace.Wrap(err, "trace exporter %s", opts.TraceEndpoint)
	}
	return sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(opts.TraceSample))),
	), nil
}
