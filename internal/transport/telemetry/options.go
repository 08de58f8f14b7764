// Package telemetry sets up logs, metrics and traces of a process.
package telemetry

import (
	"io"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/settings"
)

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
	// FloodLimit is the number of equal entries that are printed in 10 s. Zero
	// means 20.
	FloodLimit int
	// TraceEndpoint is the OTLP/HTTP URL of a trace collector. Empty means
	// that trace contexts are passed on but no spans are exported.
	TraceEndpoint string
	TraceSample   float64 // share of new traces that is recorded, 0 to 1
}

// FromSettings returns the options of a daemon.
func FromSettings(process string, s settings.Common) Options {
	return Options{
		Process:       process,
		Instance:      string(s.Instance),
		Region:        s.Region,
		FailureDomain: string(s.FailureDomain),
		LogFormat:     s.Log.Format,
		LogLevel:      s.Log.Level,
		TraceEndpoint: s.Trace.Endpoint,
		TraceSample:   s.Trace.Sample,
	}
}
