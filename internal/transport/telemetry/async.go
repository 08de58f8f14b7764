package telemetry

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait for a slow reader of the log.
	asyncLines = 1024
	// asyncFlush bounds the wait for the reader at the end.
	asyncFlush = 500 * time.Millisecond
)

// asyncWriter hands lines to a goroutine that writes them, so that no request
// waits for the reader of the log. Lines that do not fit are dropped and
// counted.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	report  func(dropped int64) []byte
	stop    chan struct{}
	done    chan struct{}
}

// newAsyncWriter starts the goroutine. report formats the line that tells how
// many were dropped.
func newAsyncWriter(out io.Writer, report func(dropped int64) []byte) *asyncWriter {
	w := &asyncWriter{
		out:    out,
		lines:  make(chan []byte, asyncLines),
		report: report,
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *asyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// write writes a line, and before it how many were dropped.
func (w *asyncWriter) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = w.out.Write(w.report(n)) // there is nowhere to report it
	}
	_, _ = w.out.Write(line) // there is nowhere to report it
}

func (w *asyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// Close writes what waits, for a bounded time.
func (w *asyncWriter) Close() {
	close(w.stop)
	timer := time.NewTimer(asyncFlush)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
