// Package peerlink connects the coordination packages to the transport
// between processes: it implements their outbound interfaces and serves their
// messages.
package peerlink

import (
	"context"
	"errors"
	"io"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// Entry sends messages to entry processes. It implements replication.Peers.
type Entry struct {
	client *peer.Client
}

// NewEntry returns an Entry that uses the client.
func NewEntry(client *peer.Client) *Entry { return &Entry{client: client} }

var _ replication.Peers = (*Entry)(nil)

// Open implements replication.Peers.
func (e *Entry) Open(ctx context.Context, to model.Instance, o replication.Open) (replication.Ack, error) {
	m, err := peerwire.EncodeOpen(o)
	return e.acknowledged(ctx, to, m, err)
}

// Append implements replication.Peers.
func (e *Entry) Append(ctx context.Context, to model.Instance, a replication.Append) (replication.Ack, error) {
	m, err := peerwire.EncodeAppend(a)
	return e.acknowledged(ctx, to, m, err)
}

// Close implements replication.Peers.
func (e *Entry) Close(ctx context.Context, to model.Instance, c replication.Close) (replication.Ack, error) {
	m, err := peerwire.EncodeClose(c)
	return e.acknowledged(ctx, to, m, err)
}

func (e *Entry) acknowledged(ctx context.Context, to model.Instance, m peerwire.Message, err error) (replication.Ack, error) {
	if err != nil {
		return replication.Ack{}, err
	}
	reply, err := e.client.Request(ctx, to.EntryAddress, m)
	if err != nil {
		return replication.Ack{}, err
	}
	return peerwire.DecodeAck(m.Kind, reply)
}

// Fetch implements replication.Peers.
func (e *Entry) Fetch(ctx context.Context, to model.Instance, f replication.Fetch) (replication.Copy, error) {
	m, err := peerwire.EncodeFetch(peerwire.KindLogFetch, f)
	if err != nil {
		return replication.Copy{}, err
	}
	reply, err := e.client.Request(ctx, to.EntryAddress, m)
	if err != nil {
		return replication.Copy{}, err
	}
	return peerwire.DecodeCopy(reply)
}

// Follow implements replication.Peers. The peer's first message says that it
// owns the log.
func (e *Entry) Follow(ctx context.Context, to model.Instance, f replication.Fetch) (replication.Reader, error) {
	m, err := peerwire.EncodeFetch(peerwire.KindLogFollow, f)
	if err != nil {
		return nil, err
	}
	stream, err := e.client.Stream(ctx, to.EntryAddress, m)
	if err != nil {
		return nil, err
	}
	first, err := stream.Next(ctx)
	if err == nil {
		_, err = peerwire.DecodeBatch(first)
	}
	if err != nil {
		stream.Close()
		return nil, followError(err)
	}
	return &followed{stream: stream}, nil
}

func followError(err error) error {
	var remote *peerwire.RemoteError
	if errors.As(err, &remote) && remote.Code == peerwire.CodeNotFound {
		return trace.Wrap(replication.ErrNotHeld)
	}
	return err
}

// AskPermit asks for the last run of a fingerprint.
func (e *Entry) AskPermit(ctx context.Context, to model.Instance, p peerwire.Permit) (bool, error) {
	m, err := peerwire.EncodePermit(p)
	if err != nil {
		return false, err
	}
	reply, err := e.client.Request(ctx, to.EntryAddress, m)
	if err != nil {
		return false, err
	}
	answer, err := peerwire.DecodePermitReply(reply)
	return answer.Granted, err
}

// followed reads another instance's log.
type followed struct {
	stream peer.MessageStream
}

// Next implements replication.Reader. A stream that stops without an end is a
// lost owner.
func (f *followed) Next(ctx context.Context) (generation.Batch, error) {
	m, err := f.stream.Next(ctx)
	if errors.Is(err, io.EOF) {
		err = trace.ConnectionProblem(io.ErrUnexpectedEOF, "log stream stopped without an end")
	}
	if err != nil {
		return generation.Batch{}, err
	}
	return peerwire.DecodeBatch(m)
}
