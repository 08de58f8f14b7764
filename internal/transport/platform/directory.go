package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Machines is the platform's list of live and leaving machines. Changes appear
// in it with a delay.
type Machines struct {
	Instances         []model.Instance // state live or leaving
	Upstreams         []ListedUpstream
	UncompressedBytes int // size of the list before compression
}

// ListedUpstream is an upstream with its state in the list.
type ListedUpstream struct {
	Upstream model.Upstream
	Leaving  bool
}

// Directory reads and changes the platform's list of machines.
type Directory struct {
	client *Client
}

// NewDirectory returns the directory of the client's platform.
func NewDirectory(client *Client) *Directory {
	return &Directory{client: client}
}

// List reads the list. Entries of unknown kinds are left out.
func (d *Directory) List(ctx context.Context) (Machines, error) {
	got, err := d.client.do(ctx, call{
		op:         "GET instances",
		method:     http.MethodGet,
		path:       platformapi.InstancesPath,
		compressed: true,
	})
	if err != nil {
		return Machines{}, err
	}
	list, skipped, err := platformapi.DecodeEntryList(got.body)
	if err != nil {
		return Machines{}, trace.Wrap(err, "list of instances cannot be decoded")
	}
	for _, cause := range skipped {
		log.WithField("part", "platform").WithError(cause).Warn("unreadable entry of the list is ignored")
	}
	machines := Machines{UncompressedBytes: len(got.body)}
	for _, entry := range list.Entries {
		switch entry.Kind {
		case platformapi.KindInstance:
			machines.Instances = append(machines.Instances, entry.Instance())
		case platformapi.KindEngine, platformapi.KindService:
			machines.Upstreams = append(machines.Upstreams, ListedUpstream{entry.Upstream(), entry.Leaving()})
		}
	}
	return machines, nil
}

// RegisterInstance writes an instance's entry. A repeat is idempotent.
func (d *Directory) RegisterInstance(ctx context.Context, instance model.Instance) error {
	return d.register(ctx, platformapi.InstanceEntry(instance))
}

// RegisterUpstream writes an upstream's entry. A repeat is idempotent.
func (d *Directory) RegisterUpstream(ctx context.Context, upstream model.Upstream, leaving bool) error {
	return d.register(ctx, platformapi.UpstreamEntry(upstream, leaving))
}

func (d *Directory) register(ctx context.Context, entry platformapi.Entry) error {
	if !platformapi.ValidKey(entry.ID) {
		return invalidKey(entry.ID)
	}
	body, err := json.Marshal(entry)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = d.client.do(ctx, call{
		op:     "PUT instance",
		method: http.MethodPut,
		path:   platformapi.InstancePath(entry.ID),
		body:   body,
	})
	return err
}

// Remove deletes the entry of a machine that has left.
func (d *Directory) Remove(ctx context.Context, id string) error {
	if !platformapi.ValidKey(id) {
		return invalidKey(id)
	}
	_, err := d.client.do(ctx, call{op: "DELETE instance", method: http.MethodDelete, path: platformapi.InstancePath(id)})
	return err
}
