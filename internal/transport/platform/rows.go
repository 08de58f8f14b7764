package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
)

// Rows is one table whose rows are T, encoded as JSON. It implements
// store.Rows. A revision is the row's entity tag as the platform sent it.
type Rows[T any] struct {
	client *Client
	table  string
}

var _ store.Rows[int] = (*Rows[int])(nil)

// NewRows returns a typed view of a table. All rows that are read through the
// view must decode as T.
func NewRows[T any](client *Client, table string) *Rows[T] {
	return &Rows[T]{client: client, table: table}
}

// Get implements store.Rows.
func (r *Rows[T]) Get(ctx context.Context, key string) (store.Row[T], error) {
	if !platformapi.ValidKey(key) {
		return store.Row[T]{}, invalidKey(key)
	}
	got, err := r.client.do(ctx, call{op: "GET row", method: http.MethodGet, path: platformapi.RowPath(r.table, key)})
	if err != nil {
		return store.Row[T]{}, err
	}
	return decodeRow[T](platformapi.Row{Key: key, ETag: got.etag, Value: got.body})
}

// Put implements store.Rows.
func (r *Rows[T]) Put(ctx context.Context, key string, value T, expected store.Revision) (store.Revision, error) {
	if !platformapi.ValidKey(key) {
		return store.NoRow, invalidKey(key)
	}
	body, err := json.Marshal(value)
	if err != nil {
		return store.NoRow, trace.Wrap(err, "row %q cannot be encoded", key)
	}
	const op = "PUT row"
	got, err := r.client.do(ctx, call{
		op:     op,
		method: http.MethodPut,
		path:   platformapi.RowPath(r.table, key),
		header: precondition(expected),
		body:   body,
	})
	if err != nil {
		return store.NoRow, err
	}
	if got.etag == "" {
		cause := trace.BadParameter("the answer has no ETag")
		return store.NoRow, trace.Wrap(&Error{Op: op, Kind: store.ErrUnknownOutcome, Cause: cause})
	}
	return store.Revision(got.etag), nil
}

// Delete removes the row if its revision is the expected one.
func (r *Rows[T]) Delete(ctx context.Context, key string, expected store.Revision) error {
	if !platformapi.ValidKey(key) || expected == store.NoRow {
		return invalidKey(key)
	}
	_, err := r.client.do(ctx, call{
		op:     "DELETE row",
		method: http.MethodDelete,
		path:   platformapi.RowPath(r.table, key),
		header: precondition(expected),
	})
	return err
}

// List implements store.Rows. The rows are in the order of their keys.
func (r *Rows[T]) List(ctx context.Context, prefix string) ([]store.Row[T], error) {
	got, err := r.client.do(ctx, call{
		op:     "GET rows",
		method: http.MethodGet,
		path:   platformapi.ListPath(r.table),
		query:  platformapi.ListQuery(prefix),
	})
	if err != nil {
		return nil, err
	}
	var list platformapi.RowList
	if err := json.Unmarshal(got.body, &list); err != nil {
		return nil, trace.Wrap(err, "list of table %q cannot be decoded", r.table)
	}
	rows := make([]store.Row[T], 0, len(list.Rows))
	for _, encoded := range list.Rows {
		row, err := decodeRow[T](encoded)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func decodeRow[T any](row platformapi.Row) (store.Row[T], error) {
	keyed := store.Row[T]{Key: row.Key, Revision: store.Revision(row.ETag)}
	if row.ETag == "" {
		return store.Row[T]{}, trace.BadParameter("row %q has no ETag", row.Key)
	}
	if err := json.Unmarshal(row.Value, &keyed.Value); err != nil {
		return store.Row[T]{}, trace.Wrap(err, "row %q cannot be decoded", row.Key)
	}
	return keyed, nil
}

// precondition encodes the expected revision as a conditional request.
func precondition(expected store.Revision) http.Header {
	if expected == store.NoRow {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {string(expected)}}
}

func invalidKey(key string) error {
	return trace.BadParameter("key %q does not name a stored row or object", key)
}
