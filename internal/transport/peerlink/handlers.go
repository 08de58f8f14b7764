package peerlink

import (
	"context"
	"errors"
	"maps"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// Join returns one handler table of several.
func Join(tables ...peer.Mux) peer.Mux {
	all := peer.Mux{}
	for _, t := range tables {
		maps.Copy(all, t)
	}
	return all
}

// reply serves one request with one reply.
func reply[Q, R any](
	decode func(peerwire.Message) (Q, error),
	handle func(context.Context, Q) (R, error),
	encode func(R) (peerwire.Message, error),
) peer.Handler {
	return peer.HandlerFunc(func(ctx context.Context, _ peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
		request, err := decode(m)
		if err != nil {
			return err
		}
		result, err := handle(ctx, request)
		if err != nil {
			return err
		}
		answer, err := encode(result)
		if err != nil {
			return err
		}
		return w.Write(answer)
	})
}

func encodeAck(kind peerwire.Kind) func(replication.Ack) (peerwire.Message, error) {
	return func(a replication.Ack) (peerwire.Message, error) { return peerwire.EncodeAck(kind, a) }
}

func decodeFetch(kind peerwire.Kind) func(peerwire.Message) (replication.Fetch, error) {
	return func(m peerwire.Message) (replication.Fetch, error) { return peerwire.DecodeFetch(kind, m) }
}

// LogHandlers serves the copies and the own logs of an entry process.
func LogHandlers(h *replication.Holder, m *replication.Manager) peer.Mux {
	return peer.Mux{
		peerwire.KindLogOpen:   reply(peerwire.DecodeOpen, h.HandleOpen, encodeAck(peerwire.KindLogOpen)),
		peerwire.KindLogAppend: reply(peerwire.DecodeAppend, h.HandleAppend, encodeAck(peerwire.KindLogAppend)),
		peerwire.KindLogClose:  reply(peerwire.DecodeClose, h.HandleClose, encodeAck(peerwire.KindLogClose)),
		peerwire.KindLogFetch:  reply(decodeFetch(peerwire.KindLogFetch), h.HandleFetch, peerwire.EncodeCopy),
		peerwire.KindLogFollow: peer.HandlerFunc(func(ctx context.Context, _ peer.Peer, q peerwire.Message, w peer.MessageWriter) error {
			return follow(ctx, m, q, w)
		}),
	}
}

// follow sends an own log until its end.
func follow(ctx context.Context, m *replication.Manager, q peerwire.Message, w peer.MessageWriter) error {
	want, err := peerwire.DecodeFetch(peerwire.KindLogFollow, q)
	if err != nil {
		return err
	}
	reader, err := m.HandleFollow(want)
	if errors.Is(err, replication.ErrNotHeld) {
		return trace.NotFound("%v", err)
	}
	if err != nil {
		return err
	}
	batch := generation.Batch{Line: want.Line, First: want.Position}
	for {
		message, err := peerwire.EncodeBatch(batch)
		if err != nil {
			return err
		}
		if err := w.Write(message); err != nil {
			return err
		}
		if batch.End != nil || batch.Gone {
			return nil
		}
		if batch, err = reader.Next(ctx); err != nil {
			return err
		}
	}
}

// GossipHandlers serves the exchanges of a control process.
func GossipHandlers(m *gossip.Manager) peer.Mux {
	return peer.Mux{
		peerwire.KindGossip: reply(peerwire.DecodeExchange, m.HandleExchange, peerwire.EncodeExchange),
	}
}

// PermitHandler serves requests for the last run of a fingerprint.
func PermitHandler(grant func(context.Context, peerwire.Permit) (bool, error)) peer.Mux {
	handle := func(ctx context.Context, p peerwire.Permit) (peerwire.PermitReply, error) {
		granted, err := grant(ctx, p)
		return peerwire.PermitReply{Granted: granted}, err
	}
	return peer.Mux{
		peerwire.KindSuspectPermit: reply(peerwire.DecodePermit, handle, peerwire.EncodePermitReply),
	}
}

// ReportHandler serves the reports of an entry process.
func ReportHandler(take func(context.Context, peerwire.Report) error) peer.Mux {
	handle := func(ctx context.Context, r peerwire.Report) (struct{}, error) {
		return struct{}{}, take(ctx, r)
	}
	return peer.Mux{
		peerwire.KindReport: reply(peerwire.DecodeReport, handle, func(struct{}) (peerwire.Message, error) {
			return peerwire.ReportReply()
		}),
	}
}

// ViewHandler serves the stream of views. serve sends views until ctx ends.
func ViewHandler(serve func(ctx context.Context, send func(peerwire.View) error) error) peer.Mux {
	return peer.Mux{
		peerwire.KindView: peer.HandlerFunc(func(ctx context.Context, _ peer.Peer, _ peerwire.Message, w peer.MessageWriter) error {
			return serve(ctx, func(v peerwire.View) error {
				m, err := peerwire.EncodeView(v)
				if err != nil {
					return err
				}
				return w.Write(m)
			})
		}),
	}
}
