package environment

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// countedObjects counts the reads of bodies. Each read takes 200 ms, about the
// time to transfer and parse a document with 3,500 upstreams.
type countedObjects struct {
	*fakeStore
	reads *atomic.Int64
}

func (o countedObjects) GetObject(ctx context.Context, key string) ([]byte, error) {
	o.reads.Add(1)
	time.Sleep(200 * time.Millisecond)
	return o.fakeStore.GetObject(ctx, key)
}

// bodyReads returns the mean number of body reads for each change and instance,
// when gossip brings a document from the first reader to all other instances
// after gossipDelay.
func bodyReads(t *testing.T, instances int, gossipDelay time.Duration, withWait bool) float64 {
	const changes = 5
	reads := &atomic.Int64{}
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		pool := worker.NewPool(worker.Options{Workers: 2})
		defer pool.Close()
		all := make([]*Watcher, instances)
		var latest atomic.Uint64 // last generation that was handed to gossip
		spread := func(d *model.Document) {
			if latest.Swap(d.Generation) == d.Generation {
				return
			}
			pool.After(gossipDelay, "gossip", worker.Func(func() {
				for _, w := range all {
					w.ApplyFromPeer(d, nil)
				}
			}))
		}
		for i := range all {
			// All watchers share one pool, with a different key each.
			opts := Options{
				Environment: environment, Rows: s, Objects: countedObjects{s, reads}, Table: document.NewTable(),
				Pool: pool, Parse: parse, OnApplied: func(d *model.Document) { spread(d) },
			}
			if withWait {
				opts.Instances = func() int { return instances }
			}
			all[i] = NewWatcher(opts)
			all[i].key = worker.Key(string(rune('A' + i)))
			all[i].Start()
		}
		for i := range uint64(changes + 1) {
			_, err := promote(s, promotion("change"+string(rune('a'+i)), i))
			assert.NilError(t, err)
			if i == 0 {
				advance(20 * time.Second) // until jitter has spread the reads of the instances
				reads.Store(0)
				continue
			}
			advance(5800 * time.Millisecond)
			for _, w := range all {
				assert.Equal(t, w.currentGeneration(), i+1)
			}
		}
		for _, w := range all {
			w.Stop()
		}
		advance(10 * time.Second)
	})
	return float64(reads.Load()) / changes / float64(instances)
}

// Guards against a fleet in which many instances read and parse each new
// document although gossip brings it, and against a wait that makes a change
// take longer than 6 s.
func TestFewInstancesReadTheBody(t *testing.T) {
	const instances, gossipDelay = 640, 300 * time.Millisecond
	withoutWait, withWait := bodyReads(t, instances, gossipDelay, false), bodyReads(t, instances, gossipDelay, true)
	t.Logf("bodies read for each change and instance: %.3f without a wait, %.3f with it", withoutWait, withWait)
	assert.Assert(t, withWait < withoutWait/4)
}

// Guards against a change that takes longer than 6 s where no peer sends it.
func TestChangeIsInForceIn6SecondsWithoutGossip(t *testing.T) {
	read := bodyReads(t, 100, time.Hour, true)
	assert.Equal(t, read, 1.0)
	assert.Equal(t, BodyWait(12, 0.99), time.Duration(0))
	assert.Equal(t, BodyWait(640, 0.049), time.Duration(0))
	assert.Equal(t, BodyWait(640, 0.051), maxBodyWait)
}
