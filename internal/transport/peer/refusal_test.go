package peer

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer/devcert"
)

// Guards against a message of another protocol version, of an unknown kind or
// in an invalid format that reaches a handler or is refused without a reason.
func TestInvalidMessagesAreRefused(t *testing.T) {
	ca, err := devcert.New(t.TempDir())
	assert.NilError(t, err)
	s := startServer(t, issueFrom(t, ca, "entry-1"), Mux{peerwire.KindView: HandlerFunc(
		func(context.Context, Peer, peerwire.Message, MessageWriter) error {
			t.Error("the handler was called")
			return nil
		})})
	c := startClient(t, issueFrom(t, ca, "entry-2"))
	// {"v": 2, "kind": "view", "body": {}} and the same without a version.
	version2 := "\xa3\x61v\x02\x64kind\x64view\x64body\xa0"
	unversioned := "\xa2\x64kind\x64view\x64body\xa0"
	for _, test := range []struct {
		name, message string
		want          string
	}{
		{"version 2", version2, "message has version 2, this process speaks version 1"},
		{"no version", unversioned, "message has no version"},
		{"not CBOR", "GET / HTTP/1.1", "decode message"},
		{"empty", "", "decode message"},
	} {
		reply, err := sendRaw(t, c, s.Address(), []byte(test.message))
		assert.NilError(t, err, test.name)
		assert.ErrorContains(t, peerwire.AsError(reply), test.want, test.name)
		assert.Equal(t, peerwire.IsVersionError(peerwire.AsError(reply)), test.name == "version 2", test.name)
	}
	assert.ErrorContains(t, request(t, c, s.Address(), "absent"), `does not serve messages of kind "absent"`)
}

// sendRaw sends the bytes with their length as a prefix and reads the reply.
func sendRaw(t *testing.T, c *Client, address string, message []byte) (peerwire.Message, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	conn, err := c.conns.get(ctx, address)
	assert.NilError(t, err)
	stream, err := conn.OpenStreamSync(ctx)
	assert.NilError(t, err)
	assert.NilError(t, stream.SetDeadline(time.Now().Add(3*time.Second)))
	_, err = stream.Write(append([]byte{0, 0, 0, byte(len(message))}, message...))
	assert.NilError(t, err)
	// The server may have refused the message before its end was sent.
	if err := stream.Close(); err != nil {
		assert.Assert(t, stoppedByPeer(stream), "%v", err)
	}
	reply, _, err := peerwire.ReadMessage(stream)
	return reply, err
}

// Guards against the loss of the error reply of a peer that refuses a message
// before it has read all of it.
func TestErrorReplyBeforeEndOfRequestIsReceived(t *testing.T) {
	ca, err := devcert.New(t.TempDir())
	assert.NilError(t, err)
	creds, err := newCredentials(issueFrom(t, ca, "entry-1"))
	assert.NilError(t, err)
	listener, err := quic.ListenAddr("127.0.0.1:0", creds.serverTLS(), quicConfig(-1, IdleTimeoutWithoutKeepAlive))
	assert.NilError(t, err)
	var serving sync.WaitGroup
	serving.Go(func() { refuseUnread(t.Context(), listener) })
	t.Cleanup(func() {
		serving.Wait()
		assert.NilError(t, listener.Close())
	})
	c := startClient(t, issueFrom(t, ca, "entry-2"))
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	// Larger than the flow control window, so that its end cannot be sent before the refusal.
	large := peerwire.Message{Kind: peerwire.KindView, Body: append([]byte{0x5a, 0, 0x40, 0, 0}, make([]byte, 4<<20)...)}
	_, err = c.Request(ctx, listener.Addr().String(), large)
	assert.ErrorContains(t, err, "no room for this message")
}

// refuseUnread answers each stream with an error after its first 4 bytes.
func refuseUnread(ctx context.Context, listener *quic.Listener) {
	conn, err := listener.Accept(ctx)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseWithError(0, "test ends") }()
	for err == nil {
		var stream *quic.Stream
		if stream, err = conn.AcceptStream(ctx); err != nil {
			return
		}
		if _, err = io.ReadFull(stream, make([]byte, 4)); err != nil {
			return
		}
		stream.CancelRead(0)
		if _, err = peerwire.WriteMessage(stream, peerwire.EncodeError(trace.LimitExceeded("no room for this message"))); err == nil {
			err = stream.Close()
		}
	}
}
