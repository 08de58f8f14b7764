// Package answerend tells whether an answer without a length is complete. Such an answer
// ends with its connection, and the system closes the connections of a crashed process in
// the same way. A process that has sent its whole answer still answers other requests, so
// it is asked.
package answerend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/state/wait"
)

// ErrCut means that an answer without a length may lack its end.
var ErrCut = errors.New("the connection closed, and its sender does not answer any more")

const (
	// askTimeout bounds the wait for the sender. A sound process may be silent for a second.
	askTimeout = 2 * time.Second
	// askInterval is the time from an ask that failed to the next one.
	askInterval = 100 * time.Millisecond
)

// IsDelimited reports whether the answer marks its end itself. The transport reports an
// error if the connection of such an answer closes before its end.
func IsDelimited(in *http.Response) bool {
	return in.ContentLength >= 0 || len(in.TransferEncoding) > 0 || in.Body == http.NoBody
}

// Ask asks the process that sent an answer for any sign of life, over a connection of its
// own. It returns an error if there is none; one of trace.NotFound means that another
// process answered.
type Ask func(ctx context.Context) error

// Body returns a reader of the answer's body. The reader ends with an error that wraps
// ErrCut if the answer is not delimited and its sender has not outlived it.
func Body(ctx context.Context, in *http.Response, ask Ask) io.Reader {
	if IsDelimited(in) {
		return in.Body
	}
	return &undelimited{ctx: ctx, body: in.Body, ask: ask}
}

// undelimited is the body of an answer that ends with its connection.
type undelimited struct {
	ctx  context.Context
	body io.Reader
	ask  Ask
	end  error // what the end of the body was found to be; nil before
}

// Read implements io.Reader.
func (u *undelimited) Read(p []byte) (int, error) {
	if u.end != nil {
		return 0, u.end
	}
	n, err := u.body.Read(p)
	if n > 0 && errors.Is(err, io.EOF) {
		return n, nil // the next read finds the end; what has arrived is not delayed
	}
	if errors.Is(err, io.EOF) {
		err = u.judgeEnd()
	}
	u.end = err
	return n, err
}

// judgeEnd returns io.EOF if the sender is alive. It has to be asked after the end: when a
// process crashes, its listener is gone too.
func (u *undelimited) judgeEnd() error {
	ctx, cancel := context.WithTimeout(u.ctx, askTimeout)
	defer cancel()
	for {
		err := u.ask(ctx)
		if err == nil {
			return io.EOF
		}
		if isGone(err) || wait.Sleep(ctx, askInterval) != nil {
			return trace.Wrap(ErrCut, "%v", err)
		}
	}
}

// isGone reports whether the error of an Ask shows that the process has ended. Another
// error may have passing causes, such as a limit on connections.
func isGone(err error) bool {
	return trace.IsNotFound(err) || errors.Is(err, syscall.ECONNREFUSED)
}
