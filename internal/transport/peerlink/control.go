package peerlink

import (
	"context"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// Control sends messages to control processes. It implements gossip.Peers.
type Control struct {
	client *peer.Client
}

// NewControl returns a Control that uses the client.
func NewControl(client *peer.Client) *Control { return &Control{client: client} }

var _ gossip.Peers = (*Control)(nil)

// Exchange implements gossip.Peers.
func (c *Control) Exchange(ctx context.Context, address string, e gossip.Exchange) (gossip.Exchange, error) {
	m, err := peerwire.EncodeExchange(e)
	if err != nil {
		return gossip.Exchange{}, err
	}
	reply, err := c.client.Request(ctx, address, m)
	if err != nil {
		return gossip.Exchange{}, err
	}
	return peerwire.DecodeExchange(reply)
}

// Report sends an entry process's report to its control process.
func (c *Control) Report(ctx context.Context, address string, r peerwire.Report) error {
	m, err := peerwire.EncodeReport(r)
	if err != nil {
		return err
	}
	_, err = c.client.Request(ctx, address, m)
	return err
}

// Views opens the stream of views from a control process. It lives until ctx
// ends or Close.
func (c *Control) Views(ctx context.Context, address string) (*Views, error) {
	m, err := peerwire.ViewRequest()
	if err != nil {
		return nil, err
	}
	stream, err := c.client.Stream(ctx, address, m)
	if err != nil {
		return nil, err
	}
	return &Views{stream: stream}, nil
}

// Views receives the views of a control process.
type Views struct {
	stream peer.MessageStream
}

// Next waits for the next view. The first one is whole.
func (v *Views) Next(ctx context.Context) (peerwire.View, error) {
	m, err := v.stream.Next(ctx)
	if err != nil {
		return peerwire.View{}, err
	}
	return peerwire.DecodeView(m)
}

// Close ends the stream.
func (v *Views) Close() { v.stream.Close() }
