package operator

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/envdoc"
)

// Exit codes. The help text lists them.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnavailable = 4
)

const exitHelp = `Exit codes: 0 done; 1 failed; 2 usage or invalid input; 3 conflict, another document is in force than the one seen;
4 platform unavailable, or it is unknown whether a change took effect. Only promote changes anything; a command that
ends with 1, 2 or 3 has changed nothing, unless its message says that the promotion is accepted.`

// exitCode returns the exit code of a command that ended with err.
func exitCode(err error) int {
	var faults envdoc.Faults
	var conflict *environment.ConflictError
	var unknown *environment.UnknownOutcomeError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults), trace.IsBadParameter(err):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknown), unavailable(err):
		return ExitUnavailable
	}
	return ExitFailed
}

func unavailable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknownOutcome) ||
		errors.Is(err, context.DeadlineExceeded) || trace.IsConnectionProblem(err)
}
