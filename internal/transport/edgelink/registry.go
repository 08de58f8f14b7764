package edgelink

import (
	"context"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/registry"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// Poll implements registry.Peers.
func (l *Link) Poll(ctx context.Context, from model.Instance, known registry.Cursor, wait time.Duration) (registry.Delta, error) {
	request, err := peerwire.EncodeNewsAsk(known, wait)
	if err != nil {
		return registry.Delta{}, err
	}
	reply, err := l.client.Request(ctx, from.ControlAddress, request)
	if err != nil {
		return registry.Delta{}, err
	}
	return peerwire.DecodeNews(reply)
}

// ServeNews returns the handler of requests for registry changes.
func ServeNews(news func(ctx context.Context, known registry.Cursor, wait time.Duration) registry.Delta) peer.Handler {
	return peer.HandlerFunc(func(ctx context.Context, _ peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
		known, wait, err := peerwire.DecodeNewsAsk(m)
		if err != nil {
			return err
		}
		reply, err := peerwire.EncodeNews(news(ctx, known, wait))
		if err != nil {
			return err
		}
		return w.Write(reply)
	})
}
