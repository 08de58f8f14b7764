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

// Exponential backoff between the attempts to resolve a lost answer.
const (
	initialRetryInterval = 50 * time.Millisecond
	maxRetryInterval     = 2 * time.Second
)

// Promotion asks to put a document in force.
type Promotion struct {
	Environment string
	Source      []byte // validated by the caller
	Hash        string // hex SHA-256 of Source
	Seen        uint64 // generation in force that the operator saw; 0 means no document
	// ChangeID identifies the promotion and makes it idempotent: repeats with
	// the same ID take effect once.
	ChangeID   string
	PromotedBy string
	At         time.Time
}

// ConflictError means that the document in force is not the one that the
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

// UnknownOutcomeError means that it is not known whether the promotion took effect. A
// repeat of the promotion with the same change ID finds out.
type UnknownOutcomeError struct {
	Environment string
	ChangeID    string
	Cause       error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s to environment %s took effect: %v; repeat it with the same change ID",
		e.ChangeID, e.Environment, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// errRecentOverflow is the cause of an UnknownOutcomeError after many later promotions.
var errRecentOverflow = errors.New("later promotions have pushed the change out of the list of recent changes")

// Promote puts the document in force and returns its head. If another promotion
// has already followed, the last entry of the head's Recent is that later
// promotion.
//
// Promote returns a ConflictError when the document in force is not the one that
// the operator saw, an UnknownOutcomeError when the outcome cannot be determined before
// ctx ends, and an error that matches store.ErrUnavailable when nothing was
// changed because the store cannot be reached. It blocks on the network.
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
	// writeUnresolved is set once a write of the head was sent whose outcome is
	// not known.
	writeUnresolved bool
}

func (r *promoter) promote(ctx context.Context) (Head, error) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = initialRetryInterval, maxRetryInterval
	for {
		head, err := r.try(ctx)
		if err == nil || !retryable(err) {
			return head, err
		}
		if waitErr := r.sleep(ctx, retryBackoff.NextBackOff()); waitErr != nil {
			return Head{}, r.contextEndedError(err)
		}
	}
}

// try reads the head and, if the generation that the operator saw is in force,
// writes the body and then the head. A retry after a lost answer is safe: the
// new write succeeds only if the earlier write did not take effect, and if the
// earlier write then arrives late, that one fails.
func (r *promoter) try(ctx context.Context) (Head, error) {
	current, err := readHead(ctx, r.rows, r.p.Environment)
	if err != nil {
		return Head{}, r.classifyError(err)
	}
	switch current.head.outcomeOf(r.p) {
	case outcomeAccepted:
		generation, _ := current.head.acceptedGeneration(r.p)
		return r.p.newHead(generation, current.head.Recent), nil
	case outcomeConflict:
		return Head{}, &ConflictError{Environment: r.p.Environment, Seen: r.p.Seen, InForce: current.head}
	case outcomeUnknown:
		return Head{}, r.unknownOutcomeError(current.head)
	}
	if err := r.objects.PutObject(ctx, BodyKey(r.p.Hash), r.p.Source); err != nil {
		return Head{}, r.classifyError(err)
	}
	return r.write(ctx, current)
}

func (r *promoter) write(ctx context.Context, current headRow) (Head, error) {
	head := current.head.nextHead(r.p)
	_, err := r.rows.Put(ctx, HeadKey(r.p.Environment), head, current.revision)
	switch {
	case err == nil:
		return head, nil
	case errors.Is(err, store.ErrConflict):
		return Head{}, &retryError{err}
	case errors.Is(err, store.ErrUnavailable):
		return Head{}, r.classifyError(err)
	}
	// With any other error, such as the end of ctx, the write may have been sent.
	r.writeUnresolved = true
	return Head{}, &retryError{err}
}

// classifyError classifies the error of a request other than an unresolved write
// of the head. The promotion ends with the error, unless the outcome of this
// request or of an earlier write is unknown.
func (r *promoter) classifyError(err error) error {
	if r.writeUnresolved || errors.Is(err, store.ErrUnknownOutcome) {
		return &retryError{err}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return unavailableError(err)
	}
	return trace.Wrap(err)
}

// unavailableError returns the error of a promotion that ended before its head
// was sent.
func unavailableError(cause error) error {
	return trace.Wrap(fmt.Errorf("%w, nothing was changed: %w", store.ErrUnavailable, cause))
}

// unknownOutcomeError returns the error for a promotion that can no longer be
// looked up, because newer changes have displaced its generation from the recent
// changes. It is also returned if this call to Promote sent no write: an earlier
// call with the same change ID may have taken effect.
func (r *promoter) unknownOutcomeError(inForce Head) error {
	cause := fmt.Errorf("generation %d is in force: %w", inForce.Generation, errRecentOverflow)
	return &UnknownOutcomeError{Environment: r.p.Environment, ChangeID: r.p.ChangeID, Cause: cause}
}

// contextEndedError returns the error of a promotion whose context ended between
// two attempts.
func (r *promoter) contextEndedError(last error) error {
	if !r.writeUnresolved {
		return unavailableError(last)
	}
	return &UnknownOutcomeError{Environment: r.p.Environment, ChangeID: r.p.ChangeID, Cause: last}
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
func readHead(ctx context.Context, rows store.Rows[Head], environment string) (headRow, error) {
	read, err := rows.Get(ctx, HeadKey(environment))
	if errors.Is(err, store.ErrNotFound) {
		return headRow{revision: store.NoRow}, nil
	}
	if err != nil {
		return headRow{}, err
	}
	return headRow{head: read.Value, revision: read.Revision}, nil
}

// ReadHead reads the head of an environment. The generation is 0 if the
// environment has no document.
func ReadHead(ctx context.Context, rows store.Rows[Head], environment string) (Head, error) {
	current, err := readHead(ctx, rows, environment)
	return current.head, trace.Wrap(err, "head of environment %s", environment)
}
