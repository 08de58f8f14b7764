// Package store declares the interfaces through which the coordination layer uses
// the platform's table service and object store. The transport layer implements
// them. Rows are typed, so that decisions stay apart from the encoding.
package store

import (
	"context"
	"errors"
)

// Errors of a store. Implementations return errors that match them with
// errors.Is.
var (
	// ErrNotFound means that the row does not exist.
	ErrNotFound = errors.New("row does not exist")
	// ErrConflict means that the row's revision is not the expected one and
	// that the write had no effect.
	ErrConflict = errors.New("row has another revision")
	// ErrUnavailable means that the request was not sent or was refused, and
	// had no effect.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnknownOutcome means that the answer to a write was lost: it may have
	// taken effect. The caller reads the row back.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
)

// Revision identifies one version of a row's content. NoRow is the revision of a
// row that does not exist.
type Revision string

// NoRow as the expected revision inserts a row that must not exist yet.
const NoRow Revision = ""

// Row is a row with its key and revision.
type Row[T any] struct {
	Key      string
	Value    T
	Revision Revision
}

// Rows is a typed view of the table service. Calls block on the network and
// must not run on a pool worker.
type Rows[T any] interface {
	// Get reads one row.
	Get(ctx context.Context, key string) (Row[T], error)
	// Put writes the row if its revision is the expected one.
	Put(ctx context.Context, key string, value T, expected Revision) (Revision, error)
	// List reads the rows whose keys start with the prefix.
	List(ctx context.Context, prefix string) ([]Row[T], error)
}

// Objects is the object store. An object never changes once it is written.
type Objects interface {
	GetObject(ctx context.Context, key string) ([]byte, error)
	PutObject(ctx context.Context, key string, body []byte) error
}
