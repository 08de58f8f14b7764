// Package edgelink sends states, suspect rows and registry changes between
// instances over the peer connections.
package edgelink

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/exchange"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// sendTimeout limits the wait for a connection. A state that waited longer is
// superseded by the next one.
const sendTimeout = time.Second

// Link sends states and suspect rows to other instances and requests registry
// changes from them. It implements exchange.Link and registry.Peers.
type Link struct {
	client *peer.Client
	log    log.Interface
}

// New returns a link over the client's connections.
func New(client *peer.Client, logger log.Interface) *Link {
	return &Link{client: client, log: logger.WithField("part", "edgelink")}
}

// Send implements exchange.Link.
func (l *Link) Send(to model.Instance, s exchange.State) {
	m, err := peerwire.EncodeState(s)
	if err != nil {
		l.log.WithError(err).Error("state not sent: it cannot be encoded")
		return
	}
	l.send(to, m)
}

// SendMoveCounts implements exchange.Link.
func (l *Link) SendMoveCounts(to model.Instance, c exchange.MoveCounts) {
	m, err := peerwire.EncodeMoveCounts(c)
	if err != nil {
		l.log.WithError(err).Error("counts of version moves not sent: they cannot be encoded")
		return
	}
	l.send(to, m)
}

// SendCellDemand implements exchange.Link.
func (l *Link) SendCellDemand(to []model.Instance, c exchange.CellDemand) {
	m, err := peerwire.EncodeCellDemand(c)
	if err != nil {
		l.log.WithError(err).Error("demand of the cell not sent: it cannot be encoded")
		return
	}
	for _, in := range to {
		l.send(in, m)
	}
}

// SendSuspects sends rows about requests that are suspected of ending upstreams.
func (l *Link) SendSuspects(to []model.Instance, rows suspect.Rows) {
	m, err := peerwire.EncodeSuspects(rows)
	if err != nil {
		l.log.WithError(err).Error("suspect rows not sent: they cannot be encoded")
		return
	}
	for _, in := range to {
		l.send(in, m)
	}
}

// ExchangeSuspects implements exchange.Link.
func (l *Link) ExchangeSuspects(with model.Instance, rows suspect.Rows, received func(suspect.Rows)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		got, err := l.exchangeSuspects(ctx, with, rows)
		if err != nil {
			l.log.WithField("instance", string(with.ID)).WithError(err).Debug("suspects not exchanged")
			return
		}
		received(got)
	}()
}

func (l *Link) exchangeSuspects(ctx context.Context, with model.Instance, rows suspect.Rows) (suspect.Rows, error) {
	m, err := peerwire.EncodeSuspects(rows)
	if err != nil {
		return suspect.Rows{}, err
	}
	reply, err := l.client.Request(ctx, with.ControlAddress, m)
	if err != nil {
		return suspect.Rows{}, err
	}
	return peerwire.DecodeSuspects(reply)
}

// send returns at once. The message may be lost.
func (l *Link) send(to model.Instance, m peerwire.Message) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := l.client.Send(ctx, to.ControlAddress, m); err != nil {
			l.log.WithField("instance", string(to.ID)).WithField("kind", m.Kind.Label()).WithError(err).Debug("message not sent")
		}
	}()
}

// Receiver handles the messages of other instances.
type Receiver struct {
	States     func(exchange.State)
	MoveCounts func(exchange.MoveCounts)
	CellDemand func(exchange.CellDemand)
	Suspects   func(from model.InstanceID, rows suspect.Rows)
	// KnownSuspects returns the rows with which suspects that arrive on a stream are
	// answered.
	KnownSuspects func() suspect.Rows
	Log           log.Interface
}

// Datagram decodes a message and passes it on.
func (r Receiver) Datagram(from peer.Peer, m peerwire.Message) {
	switch m.Kind {
	case peerwire.KindState:
		r.state(from, m)
	case peerwire.KindMoveCounts:
		r.moveCounts(from, m)
	case peerwire.KindCellDemand:
		r.cellDemand(from, m)
	case peerwire.KindSuspects:
		r.suspects(from, m)
	default:
		r.Log.WithField("part", "edgelink").WithField("instance", from.Name).WithField("kind", m.Kind.Label()).
			Warn("datagram of unknown kind dropped")
	}
}

// ServePeer implements peer.Handler for messages that are too large for a datagram,
// and for exchanges of suspects.
func (r Receiver) ServePeer(_ context.Context, from peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
	r.Datagram(from, m)
	if m.Kind != peerwire.KindSuspects {
		return nil
	}
	reply, err := peerwire.EncodeSuspects(r.KnownSuspects())
	if err != nil {
		return err
	}
	return w.Write(reply)
}

// state passes on a state that was sent by the instance that it names.
func (r Receiver) state(from peer.Peer, m peerwire.Message) {
	s, err := peerwire.DecodeState(m)
	if err != nil || string(s.Instance) != from.Name {
		r.Log.WithField("part", "edgelink").WithField("instance", from.Name).WithError(err).
			Warn("state dropped: it is malformed or names another instance")
		return
	}
	r.States(s)
}

// moveCounts passes on counts that were sent by the instance that they name.
func (r Receiver) moveCounts(from peer.Peer, m peerwire.Message) {
	c, err := peerwire.DecodeMoveCounts(m)
	if err != nil || string(c.Instance) != from.Name {
		r.Log.WithField("part", "edgelink").WithField("instance", from.Name).WithError(err).
			Warn("counts of version moves dropped: they are malformed or name another instance")
		return
	}
	r.MoveCounts(c)
}

// cellDemand passes on a summary that was sent by the instance that it names.
func (r Receiver) cellDemand(from peer.Peer, m peerwire.Message) {
	c, err := peerwire.DecodeCellDemand(m)
	if err != nil || string(c.Instance) != from.Name {
		r.Log.WithField("part", "edgelink").WithField("instance", from.Name).WithError(err).
			Warn("demand of a cell dropped: it is malformed or names another instance")
		return
	}
	r.CellDemand(c)
}

func (r Receiver) suspects(from peer.Peer, m peerwire.Message) {
	rows, err := peerwire.DecodeSuspects(m)
	if err != nil {
		r.Log.WithField("part", "edgelink").WithField("instance", from.Name).WithError(err).
			Warn("malformed suspect rows dropped")
		return
	}
	r.Suspects(model.InstanceID(from.Name), rows)
}
