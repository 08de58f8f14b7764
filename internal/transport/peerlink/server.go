package peerlink

import (
	"context"
	"errors"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// EntryServer serves the messages of other instances to an entry process: those of
// token logs and those that ask for permits.
type EntryServer struct {
	Holder  *replication.Holder
	Manager *replication.Manager
	// AddReader counts a follower as a reader of one of this instance's generations
	// until the returned function is called.
	AddReader func(model.RequestID) (leave func())
	// GrantPermit reports whether the holder gets the permit for a fingerprint.
	GrantPermit func(suspect.Fingerprint, suspect.Holder) bool
}

// Handlers returns the handlers of an entry process's peer messages.
func (l EntryServer) Handlers() peer.Mux {
	return peer.Mux{
		peerwire.KindLogOpen:       acknowledge(peerwire.KindLogOpen, peerwire.DecodeOpen, l.Holder.HandleOpen, requestOfOpen),
		peerwire.KindLogAppend:     peer.HandlerFunc(l.appends),
		peerwire.KindLogClose:      acknowledge(peerwire.KindLogClose, peerwire.DecodeClose, l.Holder.HandleClose, requestOfClose),
		peerwire.KindLogFetch:      peer.HandlerFunc(l.fetch),
		peerwire.KindLogFollow:     peer.HandlerFunc(l.follow),
		peerwire.KindSuspectPermit: peer.HandlerFunc(l.permit),
	}
}

// acknowledge returns the handler of a message that is answered with an Ack.
func acknowledge[T any](kind peerwire.Kind, decode func(peerwire.Message) (T, error),
	handle func(context.Context, T) (replication.Ack, error), request func(T) model.RequestID) peer.Handler {
	return peer.HandlerFunc(func(ctx context.Context, _ peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
		received, err := decode(m)
		if err != nil {
			return err
		}
		ack, err := handle(ctx, received)
		if err == nil {
			err = write(w)(peerwire.EncodeAck(kind, ack))
		}
		return peer.WithRequestID(request(received), err)
	})
}

func requestOfOpen(m replication.Open) model.RequestID   { return m.Header.Spec.Request }
func requestOfClose(m replication.Close) model.RequestID { return m.Request }

// write returns a function that sends an encoded message, or returns the error
// of its encoding.
func write(w peer.MessageWriter) func(peerwire.Message, error) error {
	return func(m peerwire.Message, err error) error {
		if err != nil {
			return err
		}
		return w.Write(m)
	}
}

func (l EntryServer) fetch(ctx context.Context, _ peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
	want, err := peerwire.DecodeFetch(peerwire.KindLogFetch, m)
	if err != nil {
		return err
	}
	found, err := l.Manager.HandleFetch(ctx, want)
	if err == nil {
		err = write(w)(peerwire.EncodeCopy(found))
	}
	return peer.WithRequestID(want.Request, err)
}

// follow sends an empty batch to accept the request, and then the log from the
// requested position.
func (l EntryServer) follow(ctx context.Context, _ peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
	want, err := peerwire.DecodeFetch(peerwire.KindLogFollow, m)
	if err != nil {
		return err
	}
	return peer.WithRequestID(want.Request, l.followLog(ctx, want, w))
}

func (l EntryServer) followLog(ctx context.Context, want replication.Fetch, w peer.MessageWriter) error {
	reader, err := l.Manager.HandleFollowLog(want)
	if errors.Is(err, replication.ErrNotHeld) {
		return trace.NotFound("no log of request %s holds position %d", want.Request, want.Position)
	}
	if err != nil {
		return err
	}
	defer l.AddReader(want.Request)()
	if err := write(w)(peerwire.EncodeBatch(generation.Batch{Line: want.Line, First: want.Position})); err != nil {
		return err
	}
	return sendBatches(ctx, reader, w)
}

// sendBatches sends batches until the log ends.
func sendBatches(ctx context.Context, reader replication.Reader, w peer.MessageWriter) error {
	for {
		batch, err := reader.Next(ctx)
		if err != nil {
			return err
		}
		if err := write(w)(peerwire.EncodeBatch(batch)); err != nil {
			return err
		}
		if batch.End != nil || batch.Removed {
			return nil
		}
	}
}

func (l EntryServer) permit(_ context.Context, _ peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
	request, err := peerwire.DecodePermit(m)
	if err != nil {
		return err
	}
	holder := suspect.Holder{Instance: request.From, Nonce: request.Nonce}
	reply := peerwire.PermitReply{Granted: l.GrantPermit(request.Fingerprint, holder)}
	return write(w)(peerwire.EncodePermitReply(reply))
}
