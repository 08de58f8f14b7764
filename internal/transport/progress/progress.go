// Package progress ends calls on which nothing arrives. A limit on the whole call cannot
// tell a large answer that is under way from a server that has fallen silent.
package progress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// errSilent is the cause with which a silent call is cancelled.
var errSilent = errors.New("nothing has arrived within the limit")

// Watch cancels a call on which nothing arrives.
type Watch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	limit  time.Duration
}

// Start returns a context for a call whose answer must begin within first, and after that
// progress within each limit. The watch must be stopped.
func Start(ctx context.Context, first, limit time.Duration) (context.Context, *Watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &Watch{ctx: ctx, cancel: cancel, limit: limit}
	w.timer = time.AfterFunc(first, func() { cancel(errSilent) })
	return ctx, w
}

// Stop ends the watch and the call.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// Reader returns a reader of the answer's body. Each part of it that arrives counts as
// progress, and so does the head, which has arrived.
func (w *Watch) Reader(body io.Reader) io.Reader {
	w.timer.Reset(w.limit)
	return &reader{w, body}
}

type reader struct {
	w    *Watch
	body io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.w.timer.Reset(r.w.limit)
	}
	return n, err
}

// Error returns the error of the call. That of a silent call matches
// context.DeadlineExceeded.
func (w *Watch) Error(err error) error {
	if err != nil && errors.Is(context.Cause(w.ctx), errSilent) {
		return fmt.Errorf("%w: %w: %w", errSilent, context.DeadlineExceeded, err)
	}
	return err
}
