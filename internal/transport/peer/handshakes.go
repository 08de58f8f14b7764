package peer

import (
	"context"
	"net"
	"sync"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
)

// maxHandshakes bounds the connections whose peer has not shown a trusted certificate yet.
// Each keeps about 70 kB for at most handshakeTimeout. A started instance is dialled by at
// most its cell and the first members of the other cells, about 60 at 640 instances.
const maxHandshakes = 128

// handshakes counts the connections whose peer is not authenticated.
type handshakes struct {
	limit int

	mu      sync.Mutex // guards pending; a leaf lock
	pending int
}

// handshakeKey is the context key of the function that ends a connection's handshake.
type handshakeKey struct{}

// begin counts a connection until its handshake is done or fails. It refuses the
// connection at the limit.
func (h *handshakes) begin(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending >= h.limit {
		return nil, trace.LimitExceeded("%d handshakes are running", h.pending)
	}
	h.pending++
	end := sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.pending--
	})
	context.AfterFunc(ctx, end) // the context ends with the connection
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// done notes that the peer of a connection is authenticated.
func (h *handshakes) done(ctx context.Context) {
	if end, ok := ctx.Value(handshakeKey{}).(func()); ok {
		end()
	}
}

// verifiesAddresses reports whether senders must show that they receive at their address.
// From half of the limit on, forged addresses then start no handshakes.
func (h *handshakes) verifiesAddresses(net.Addr) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pending >= h.limit/2
}
