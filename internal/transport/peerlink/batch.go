package peerlink

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// maxAppendsPerMessage bounds the size of a message: 256 appends of a few tokens
// are about 40 kB.
const maxAppendsPerMessage = 256

// appender sends the appends for one copy holder in batches. While a message is
// in flight, further appends are queued and sent together in the next message:
// one message for each token of 1,000 streams used a whole CPU core and delayed
// acknowledgements beyond replication.AckTimeout.
type appender struct {
	peers   *peer.Client
	address string

	// mu guards the fields below. It is a leaf lock.
	mu      sync.Mutex
	queue   []pendingAppend
	sending bool // a goroutine runs send
}

// pendingAppend is an append that waits for its acknowledgement.
type pendingAppend struct {
	message replication.Append
	result  chan appendResult
}

type appendResult struct {
	ack replication.Ack
	err error
}

// append sends m, alone or together with others, and waits for its
// acknowledgement.
func (a *appender) append(ctx context.Context, m replication.Append) (replication.Ack, error) {
	p := pendingAppend{message: m, result: make(chan appendResult, 1)}
	a.add(p)
	select {
	case r := <-p.result:
		return r.ack, r.err
	case <-ctx.Done():
		return replication.Ack{}, ctx.Err()
	}
}

func (a *appender) add(p pendingAppend) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, p)
	if !a.sending {
		a.sending = true
		go a.send()
	}
}

// send sends batches until the queue is empty.
func (a *appender) send() {
	for {
		batch := a.nextBatch()
		if len(batch) == 0 {
			return
		}
		acks, err := a.exchange(batch)
		for i, p := range batch {
			r := appendResult{err: err}
			if err == nil {
				r.ack = acks[i]
			}
			p.result <- r
		}
	}
}

// nextBatch removes the next batch from the queue. An empty batch means that the
// queue is empty and that the sender ends; the next append starts a new one.
func (a *appender) nextBatch() []pendingAppend {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.queue), maxAppendsPerMessage)
	batch := a.queue[:n:n]
	a.queue = a.queue[n:]
	a.sending = n > 0
	return batch
}

func (a *appender) exchange(batch []pendingAppend) ([]replication.Ack, error) {
	ctx, cancel := context.WithTimeout(context.Background(), replication.AckTimeout)
	defer cancel()
	appends := make([]replication.Append, len(batch))
	for i, p := range batch {
		appends[i] = p.message
	}
	request, err := peerwire.EncodeAppends(appends)
	if err != nil {
		return nil, err
	}
	reply, err := a.peers.Request(ctx, a.address, request)
	if err != nil {
		return nil, err
	}
	acks, err := peerwire.DecodeAcks(reply)
	if err == nil && len(acks) != len(batch) {
		err = trace.BadParameter("reply to %d appends has %d acknowledgements", len(batch), len(acks))
	}
	return acks, err
}

// appends handles a batch of appends. A failed append is answered with an Ack
// that is not Known, which makes the owner send the header again.
func (l EntryServer) appends(ctx context.Context, _ peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
	batch, err := peerwire.DecodeAppends(m)
	if err != nil {
		return err
	}
	acks := make([]replication.Ack, len(batch))
	var handled sync.WaitGroup
	for i, a := range batch {
		handled.Go(func() {
			if ack, err := l.Holder.HandleAppend(ctx, a); err == nil {
				acks[i] = ack
			}
		})
	}
	handled.Wait()
	return write(w)(peerwire.EncodeAcks(acks))
}
