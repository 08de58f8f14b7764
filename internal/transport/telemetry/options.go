// Package telemetry sets up logs, metrics and traces of a process.
package telemetry

import "io"

// Log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Options configure Setup.
type Options struct {
	Process       string // entryd or controld
	Instance      string
	Region        string
	FailureDomain string
	LogFormat     string    // FormatText or FormatJSON; empty means FormatText
	LogLevel      string    // debug, info, warn or error; empty means info
	LogOutput     io.Writer // nil means standard error
	// TraceEndpoint is the OTLP/HTTP URL of a trace collector. Empty means
	// that trace contexts are passed on but no spans are exported.
	TraceEndpoint string
	TraceSample   float64 // share of new traces that is recorded, 0 to 1
}
