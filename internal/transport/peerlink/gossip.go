package peerlink

import (
	"context"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// ControlClient sends gossip to other control processes. It implements
// gossip.Peers.
type ControlClient struct {
	peers *peer.Client
}

// NewControlClient returns a client over the connections of peers.
func NewControlClient(peers *peer.Client) *ControlClient { return &ControlClient{peers: peers} }

// Exchange implements gossip.Peers.
func (c *ControlClient) Exchange(ctx context.Context, address string, e gossip.Exchange) (gossip.Exchange, error) {
	request, err := peerwire.EncodeExchange(e)
	if err != nil {
		return gossip.Exchange{}, err
	}
	reply, err := c.peers.Request(ctx, address, request)
	if err != nil {
		return gossip.Exchange{}, err
	}
	return peerwire.DecodeExchange(reply)
}

// ServeGossip returns the handler of gossip in a control process.
func ServeGossip(handle func(context.Context, gossip.Exchange) (gossip.Exchange, error)) peer.Handler {
	return peer.HandlerFunc(func(ctx context.Context, _ peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
		request, err := peerwire.DecodeExchange(m)
		if err != nil {
			return err
		}
		reply, err := handle(ctx, request)
		if err != nil {
			return err
		}
		return write(w)(peerwire.EncodeExchange(reply))
	})
}
