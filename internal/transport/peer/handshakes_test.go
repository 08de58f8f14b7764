package peer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against unauthenticated peers that make the server keep any number of
// connections, and against places that are not given back.
func TestHandshakesAreBounded(t *testing.T) {
	h := &handshakes{limit: 2}
	ctx, cancel := context.WithCancel(t.Context())
	first, err := h.begin(ctx, nil)
	assert.NilError(t, err)
	assert.Assert(t, h.verifiesAddresses(nil))
	_, err = h.begin(t.Context(), nil)
	assert.NilError(t, err)
	_, err = h.begin(t.Context(), nil)
	assert.ErrorContains(t, err, "2 handshakes are running")
	h.done(first)
	h.done(first)
	cancel() // the end of the connection counts no second time
	time.Sleep(10 * time.Millisecond)
	_, err = h.begin(t.Context(), nil)
	assert.NilError(t, err)
	_, err = h.begin(t.Context(), nil)
	assert.Assert(t, err != nil)
}
