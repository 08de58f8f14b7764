package environment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/state/wait"
)

// Intervals between the tries to resolve a lost answer.
const (
	firstRetry = 50 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// Promotion asks to put a document in force.
type Promotion struct {
	Environment string
	Source      []byte // checked by the caller
	Hash        string // hex SHA-256 of Source
	Seen        uint64 // generation that the operator saw; 0 means none
	// ChangeID identifies the promotion. A repeat under the same ID takes
	// effect once.
	ChangeID   string
	PromotedBy string
	At         time.Time
}

// ConflictError says that another document is in force than the one that the
// operator saw. The promotion had no effect.
type ConflictError struct {
	Environment string
	Seen        uint64
	InForce     Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d of environment %s is in force, promoted by %q at %s; the promotion saw generation %d",
		e.InForce.Generation, e.Environment, e.InForce.PromotedBy, e.InForce.At.UTC().Format(time.RFC3339), e.Seen)
}

// UnknownError says that it is not known whether the promotion took effect. A
// repeat with the same change ID resolves it.
type UnknownError struct {
	Environment string
	ChangeID    string
	Cause       error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s to environment %s took effect: %v; repeat it with the same change ID",
		e.ChangeID, e.Environment, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// errForgotten is the cause of an UnknownError after many later promotions.
var errForgotten = errors.New("later promotions have pushed it out of the list of recent changes")

// Promote puts the document in force and returns its head, whose last recent
// change is a later one if another promotion has followed. It returns a
// ConflictError when another document is in force than the one seen, an
// UnknownError when the outcome cannot be found out before ctx ends, and an
// error that matches store.ErrUnavailable when nothing was changed because
// the store cannot be reached. It blocks on the network.
func Promote(ctx context.Context, rows store.Rows[Head], objects store.Objects, p Promotion) (Head, error) {
	run := &promoter{rows: rows, objects: objects, p: p, sleep: wait.Sleep}
	return run.promote(ctx)
}

// promoter carries out one promotion.
type promoter struct {
	rows    store.Rows[Head]
	objects store.Objects
	p       Promotion
	sleep   func(context.Context, time.Duration) error
	// uncertain is set once a write of the head may have taken effect.
	uncertain bool
}

func (r *promoter) promote(ctx context.Context) (Head, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetry, lastRetry
	for {
		head, err := r.try(ctx)
		if err == nil || !retryable(err) {
			return head, err
		}
		if waitErr := r.sleep(ctx, pause.NextBackOff()); waitErr != nil {
			return Head{}, r.giveUp(err)
		}
	}
}

// try reads the head and, if the generation seen is in force, writes the body
// and then the head. A try after a lost answer is safe: the write succeeds
// only if the earlier one did not, and if the earlier one arrives late, it
// fails in turn.
func (r *promoter) try(ctx context.Context) (Head, error) {
	current, err := readHead(ctx, r.rows, r.p.Environment)
	if err != nil {
		return Head{}, r.failed(err)
	}
	switch current.head.judge(r.p) {
	case verdictAccepted:
		generation, _ := current.head.accepted(r.p)
		return r.p.head(generation, current.head.Recent), nil
	case verdictConflict:
		return Head{}, &ConflictError{Environment: r.p.Environment, Seen: r.p.Seen, InForce: current.head}
	case verdictForgotten:
		return Head{}, r.forgotten(current.head)
	}
	if err := r.objects.PutObject(ctx, BodyKey(r.p.Hash), r.p.Source); err != nil {
		return Head{}, r.failed(err)
	}
	return r.write(ctx, current)
}

func (r *promoter) write(ctx context.Context, current row) (Head, error) {
	head := current.head.next(r.p)
	_, err := r.rows.Put(ctx, HeadKey(r.p.Environment), head, current.revision)
	switch {
	case err == nil:
		return head, nil
	case errors.Is(err, store.ErrConflict):
		return Head{}, &retryError{err}
	case errors.Is(err, store.ErrUnavailable):
		return Head{}, r.failed(err)
	}
	// Any other error, such as one of ctx, can follow a write that was sent.
	r.uncertain = true
	return Head{}, &retryError{err}
}

// failed classifies an error that had no effect on the head. It ends a
// promotion at once, unless an earlier write is to be resolved.
func (r *promoter) failed(err error) error {
	if r.uncertain || errors.Is(err, store.ErrUnknownOutcome) {
		return &retryError{err}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return unavailable(err)
	}
	return trace.Wrap(err)
}

// unavailable is the error of a promotion that ended before its head was sent.
func unavailable(cause error) error {
	return trace.Wrap(fmt.Errorf("%w, nothing was changed: %w", store.ErrUnavailable, cause))
}

// forgotten is the error of a promotion that the recent changes no longer
// show. Without a write of this run, an earlier run under the same change ID
// may have taken effect, so that the answer is the same.
func (r *promoter) forgotten(inForce Head) error {
	cause := fmt.Errorf("generation %d is in force: %w", inForce.Generation, errForgotten)
	return &UnknownError{Environment: r.p.Environment, ChangeID: r.p.ChangeID, Cause: cause}
}

// giveUp is the error of a promotion whose context ended between two tries.
func (r *promoter) giveUp(last error) error {
	if !r.uncertain {
		return unavailable(last)
	}
	return &UnknownError{Environment: r.p.Environment, ChangeID: r.p.ChangeID, Cause: last}
}

// retryError marks an error after which the head is read again.
type retryError struct{ cause error }

// Error implements error.
func (e *retryError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *retryError) Unwrap() error { return e.cause }

func retryable(err error) bool {
	var retry *retryError
	return errors.As(err, &retry)
}

// readHead reads the head row. An environment without a document has
// generation 0.
func readHead(ctx context.Context, rows store.Rows[Head], environment string) (row, error) {
	read, err := rows.Get(ctx, HeadKey(environment))
	if errors.Is(err, store.ErrNotFound) {
		return row{revision: store.NoRow}, nil
	}
	if err != nil {
		return row{}, err
	}
	return row{head: read.Value, revision: read.Revision}, nil
}

// ReadHead reads the head of an environment. The generation is 0 if the
// environment has no document.
func ReadHead(ctx context.Context, rows store.Rows[Head], environment string) (Head, error) {
	current, err := readHead(ctx, rows, environment)
	return current.head, trace.Wrap(err, "head of environment %s", environment)
}
