// Package peerlink carries the token logs and permits of entry processes
// between instances. It implements the interfaces that the coordination
// packages declare, on top of the peer messages.
package peerlink

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// Client sends messages to other entry processes. It implements
// replication.Peers.
type Client struct {
	peers *peer.Client

	// mu guards appenders, which has one entry for each holder's address. It is
	// a leaf lock.
	mu        sync.Mutex
	appenders map[string]*appender
}

// NewClient returns a client over the connections of peers.
func NewClient(peers *peer.Client) *Client {
	return &Client{peers: peers, appenders: map[string]*appender{}}
}

// Open implements replication.Peers.
func (c *Client) Open(ctx context.Context, to model.Instance, m replication.Open) (replication.Ack, error) {
	request, err := peerwire.EncodeOpen(m)
	return c.requestAck(ctx, to, request, err)
}

// Append implements replication.Peers.
func (c *Client) Append(ctx context.Context, to model.Instance, m replication.Append) (replication.Ack, error) {
	return c.appender(to.EntryAddress).append(ctx, m)
}

// appender returns the appender of a holder.
func (c *Client) appender(address string) *appender {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.appenders[address]
	if !ok {
		a = &appender{peers: c.peers, address: address}
		c.appenders[address] = a
	}
	return a
}

// Close implements replication.Peers.
func (c *Client) Close(ctx context.Context, to model.Instance, m replication.Close) (replication.Ack, error) {
	request, err := peerwire.EncodeClose(m)
	return c.requestAck(ctx, to, request, err)
}

// requestAck sends an encoded request and decodes the acknowledgement. It returns
// err, the error of the encoding, if that is not nil.
func (c *Client) requestAck(ctx context.Context, to model.Instance, request peerwire.Message, err error) (replication.Ack, error) {
	if err != nil {
		return replication.Ack{}, err
	}
	reply, err := c.peers.Request(ctx, to.EntryAddress, request)
	if err != nil {
		return replication.Ack{}, err
	}
	return peerwire.DecodeAck(request.Kind, reply)
}

// Fetch implements replication.Peers.
func (c *Client) Fetch(ctx context.Context, to model.Instance, m replication.Fetch) (replication.Copy, error) {
	request, err := peerwire.EncodeFetch(peerwire.KindLogFetch, m)
	if err != nil {
		return replication.Copy{}, err
	}
	reply, err := c.peers.Request(ctx, to.EntryAddress, request)
	if err != nil {
		return replication.Copy{}, err
	}
	return peerwire.DecodeCopy(reply)
}

// FollowLog implements replication.Peers. The first message of the stream is an
// empty batch, by which the owner accepts.
func (c *Client) FollowLog(ctx context.Context, to model.Instance, m replication.Fetch) (replication.Reader, error) {
	request, err := peerwire.EncodeFetch(peerwire.KindLogFollow, m)
	if err != nil {
		return nil, err
	}
	stream, err := c.peers.Stream(ctx, to.EntryAddress, request)
	if err != nil {
		return nil, err
	}
	r := &remoteReader{stream: stream}
	if _, err := r.Next(ctx); err != nil {
		stream.Close()
		return nil, notHeld(err)
	}
	return r, nil
}

// notHeld maps a peer's "not found" error to replication.ErrNotHeld.
func notHeld(err error) error {
	var remote *peerwire.RemoteError
	if errors.As(err, &remote) && remote.Code == peerwire.CodeNotFound {
		return replication.ErrNotHeld
	}
	return err
}

// remoteReader reads the log of another instance.
type remoteReader struct {
	stream peer.MessageStream
}

// Next implements replication.Reader.
func (r *remoteReader) Next(ctx context.Context) (generation.Batch, error) {
	m, err := r.stream.Next(ctx)
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // the end of a log is a batch with End
		}
		return generation.Batch{}, err
	}
	return peerwire.DecodeBatch(m)
}

// Gate asks one instance for permits. It implements suspicion.Gate.
type Gate struct {
	client *Client
	to     model.Instance
}

var _ suspicion.PermitIssuer = Gate{}

// Gate returns the gate of another instance.
func (c *Client) Gate(to model.Instance) Gate {
	return Gate{client: c, to: to}
}

// RequestPermit implements suspicion.PermitIssuer.
func (g Gate) RequestPermit(ctx context.Context, fp suspect.Fingerprint, holder suspect.Holder) (bool, error) {
	request, err := peerwire.EncodePermit(peerwire.Permit{Fingerprint: fp, From: holder.Instance, Nonce: holder.Nonce})
	if err != nil {
		return false, err
	}
	reply, err := g.client.peers.Request(ctx, g.to.EntryAddress, request)
	if err != nil {
		return false, err
	}
	answer, err := peerwire.DecodePermitReply(reply)
	return answer.Granted, err
}
