package environment

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// watch runs body with a started watcher in virtual time. reads counts the
// requests for the head row.
func watch(t *testing.T, body func(t *testing.T, s *fakeStore, w *Watcher, reads *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		s, reads := newFakeStore(), &atomic.Int64{}
		s.beforeRequest = func() { reads.Add(1) }
		pool := worker.NewPool(worker.Options{Workers: 2})
		defer pool.Close()
		w := NewWatcher(Options{
			Environment: environment, Rows: s, Objects: s, Table: document.NewTable(), Pool: pool,
			Parse: func(source []byte) (*model.Document, error) {
				if strings.HasSuffix(string(source), "bad") {
					return nil, errors.New("line 1: unknown key")
				}
				return parse(source)
			},
		})
		w.Start()
		w.Start()
		synctest.Wait()
		body(t, s, w, reads)
	})
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against a document that takes longer than 6 s to come into force, and
// against reads of the store that pile up.
func TestDocumentIsInForceInTime(t *testing.T) {
	watch(t, func(t *testing.T, s *fakeStore, w *Watcher, reads *atomic.Int64) {
		for i := range uint64(5) {
			_, err := promote(s, promotion("change"+string(rune('a'+i)), i))
			assert.NilError(t, err)
			advance(3 * time.Second)
			assert.Equal(t, w.currentGeneration(), i+1)
			source, ok := w.Source(i + 1)
			assert.Assert(t, ok && strings.HasPrefix(string(source), "document of change"))
		}
		_, ok := w.Source(4)
		assert.Assert(t, !ok)
		reads.Store(0)
		advance(time.Minute)
		n := reads.Load()
		assert.Assert(t, n >= 20 && n <= 30, "%d reads", n)
		w.Stop()
		advance(time.Second)
		reads.Store(0)
		advance(time.Minute)
		assert.Equal(t, reads.Load(), int64(0))
	})
}

// Guards against instances that overload a store during an outage, and against
// an instance that does not read it again afterwards.
func TestOutage(t *testing.T) {
	watch(t, func(t *testing.T, s *fakeStore, w *Watcher, reads *atomic.Int64) {
		s.mu.Lock()
		s.nextFault = func(int) fault { return faultRefused }
		s.mu.Unlock()
		advance(time.Minute)
		reads.Store(0)
		advance(time.Minute)
		n := reads.Load()
		assert.Assert(t, n >= 4 && n <= 8, "%d reads", n)
		s.mu.Lock()
		s.nextFault = func(int) fault { return faultNone }
		s.mu.Unlock()
		_, err := promote(s, promotion("change", 0))
		assert.NilError(t, err)
		advance(maxOutageInterval * 12 / 10)
		assert.Equal(t, w.currentGeneration(), uint64(1))
	})
}

// Guards against a document that comes into force although it is older, invalid
// or of another environment, and against an invalid document that is fetched
// repeatedly.
func TestOnlyNewerValidDocumentsAreTaken(t *testing.T) {
	watch(t, func(t *testing.T, s *fakeStore, w *Watcher, _ *atomic.Int64) {
		w.ApplySourceFromPeer(5, []byte("from a peer"))
		w.ApplyFromPeer(&model.Document{Environment: environment, Generation: 4}, nil)
		w.ApplyFromPeer(&model.Document{Environment: "production", Generation: 9}, nil)
		w.ApplySourceFromPeer(8, []byte("bad"))
		advance(time.Second)
		assert.Equal(t, w.currentGeneration(), uint64(5))
		source, ok := w.Source(5)
		assert.Assert(t, ok && string(source) == "from a peer")
		w.ApplyFromPeer(&model.Document{Environment: environment, Generation: 6}, nil)
		advance(time.Second)
		_, ok = w.Source(6)
		assert.Assert(t, !ok)

		s.mu.Lock()
		s.objects[BodyKey("h")] = []byte("bad")
		s.head, s.revision = Head{Generation: 7, Hash: "h"}, 1
		s.mu.Unlock()
		advance(4 * time.Second)
		assert.Equal(t, w.invalidHead.Generation, uint64(7))
		s.mu.Lock()
		delete(s.objects, BodyKey("h")) // a second fetch would start the backoff
		s.mu.Unlock()
		advance(10 * time.Second)
		assert.Assert(t, w.outageBackoff == nil)
		assert.Equal(t, w.currentGeneration(), uint64(6))
	})
}
