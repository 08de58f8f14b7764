package callerlimit

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// Guards against small reservations that fail only because a large one, for which there is
// no memory, is tried at the same time, and against the end of a response that is refused.
func TestFailedReservationsDoNotAffectOthers(t *testing.T) {
	const limit = 1 << 20
	b := NewBudget(limit)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					assert.Check(t, !b.Reserve(Answer, limit+1))
				}
			}
		})
	}
	failed := 0
	for range 100_000 {
		if !b.Reserve(Answer, 0) {
			failed++
		}
		if !b.Reserve(Body, 1) {
			failed++
			continue
		}
		b.Release(Body, 1)
	}
	close(stop)
	wg.Wait()
	assert.Equal(t, failed, 0)
	assert.Equal(t, b.Used(), int64(0))
}

// Guards against bodies of legal size that are refused in calm conditions on the smallest
// instances, because of other bodies that are kept or because of slow readers.
func TestLargeBodiesAreServedOnTheSmallestInstances(t *testing.T) {
	const size = 4 << 20
	// The budget of 20.4 MB keeps three bodies, of which the last one in chunks needs
	// memory for a copy.
	for name, c := range map[string]struct {
		answers int64 // bytes that wait for slow readers
		chunked bool
		want    int
	}{
		"known length": {0, false, 3},
		"chunks":       {0, true, 2},
		"slow readers": {1 << 30, false, 1},
	} {
		g := newGuard(smallestMemory, 2870)
		const step = 64 << 10
		reserved := int64(0)
		for reserved < c.answers && g.Budget.Reserve(Answer, step) {
			reserved += step
		}
		var kept []*Kept
		for range c.want {
			r := httptest.NewRequest(http.MethodPost, "/", io.LimitReader(zeros{}, size))
			if r.ContentLength = size; c.chunked {
				r.ContentLength = -1
			}
			r.Body = io.NopCloser(iotest.HalfReader(r.Body))
			assert.Assert(t, g.Budget.Reserve(Head, requestCost), name)
			body, err := g.ReadBody(httptest.NewRecorder(), r, size, 0)
			assert.NilError(t, err, "%s: after %d bodies", name, len(kept))
			assert.Equal(t, len(body.Bytes), size)
			kept = append(kept, body)
		}
		for _, body := range kept {
			body.Release()
		}
	}
}

// Guards against bodies and heads that leave no memory for the answers to them.
func TestAnswersKeepAShare(t *testing.T) {
	const quarter = 1 << 20
	b := NewBudget(4 * quarter)
	for _, use := range []Use{Body, Head} {
		for b.Reserve(use, 1<<10) {
		}
	}
	assert.Assert(t, b.Reserve(Answer, quarter))
	assert.Assert(t, !b.Reserve(Answer, 1))
}

// zeros is a body without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
