package telemetry

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines bounds the queue of lines that have not been written yet.
	asyncQueueLines = 1024
	// asyncFlushTimeout bounds the time in which Close writes the queued lines.
	asyncFlushTimeout = 500 * time.Millisecond
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

// newAsyncWriter starts the goroutine. report formats the line that states how
// many lines were dropped.
func newAsyncWriter(out io.Writer, report func(dropped int64) []byte) *asyncWriter {
	w := &asyncWriter{
		out:    out,
		lines:  make(chan []byte, asyncQueueLines),
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

// write writes a line. If lines were dropped before it, it first writes how many.
func (w *asyncWriter) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = w.out.Write(w.report(n)) // a failed log write cannot be logged
	}
	_, _ = w.out.Write(line) // a failed log write cannot be logged
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

// Close writes the queued lines, for at most asyncFlushTimeout.
func (w *asyncWriter) Close() {
	close(w.stop)
	timer := time.NewTimer(asyncFlushTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
