package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"
)

// blockedWriter is a log output whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (r *blockedWriter) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(p)
}

// Guards against requests that block when the reader of the log has stopped, and
// against lines that are dropped without a log line that says so.
func TestSlowLogReaderDoesNotBlock(t *testing.T) {
	reader := &blockedWriter{release: make(chan struct{})}
	flood, writer, err := setupLog(Options{LogFormat: FormatJSON, LogOutput: reader, FloodLimit: 1 << 20})
	assert.NilError(t, err)
	defer flood.Flush()
	began := time.Now()
	for i := range 3 * asyncQueueLines {
		log.WithField("part", "x").WithField("n", i).Info("line")
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	close(reader.release)
	time.Sleep(50 * time.Millisecond)
	log.WithField("part", "x").Info("last")
	writer.Close()
	reader.mu.Lock()
	defer reader.mu.Unlock()
	text := reader.got.String()
	assert.Assert(t, strings.Contains(text, "lines were dropped"), text[max(0, len(text)-300):])
	assert.Assert(t, strings.Contains(text, `"message":"x: last"`))
	assert.Assert(t, strings.Count(text, "\n") <= asyncQueueLines+5, fmt.Sprint(strings.Count(text, "\n")))
}
