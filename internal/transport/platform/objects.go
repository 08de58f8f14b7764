package platform

import (
	"context"
	"net/http"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
)

// Objects is the object store. It implements store.Objects.
type Objects struct {
	client *Client
}

var _ store.Objects = (*Objects)(nil)

// NewObjects returns the object store of the client's platform.
func NewObjects(client *Client) *Objects {
	return &Objects{client: client}
}

// GetObject implements store.Objects.
func (o *Objects) GetObject(ctx context.Context, key string) ([]byte, error) {
	if !platformapi.ValidKey(key) {
		return nil, invalidKey(key)
	}
	got, err := o.client.do(ctx, call{
		op:         "GET object",
		method:     http.MethodGet,
		path:       platformapi.ObjectPath(key),
		compressed: true,
	})
	return got.body, err
}

// PutObject implements store.Objects. A repeat with the same body succeeds;
// another body for the same key is a conflict.
func (o *Objects) PutObject(ctx context.Context, key string, body []byte) error {
	if !platformapi.ValidKey(key) {
		return invalidKey(key)
	}
	_, err := o.client.do(ctx, call{
		op:     "PUT object",
		method: http.MethodPut,
		path:   platformapi.ObjectPath(key),
		body:   body,
	})
	return err
}
