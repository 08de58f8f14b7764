package worker

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against items of one key that run out of order or at the same time.
func TestItemsOfOneKeyKeepTheirOrder(t *testing.T) {
	pool := NewPool(Options{Workers: 8})
	const keys, items = 20, 500
	var wg sync.WaitGroup
	var running [keys]atomic.Int32
	var next [keys]int
	for i := range items {
		for k := range keys {
			wg.Add(1)
			pool.Post(Key(rune('a'+k)), Func(func() {
				defer wg.Done()
				if running[k].Add(1) != 1 || next[k] != i {
					t.Errorf("key %d: item %d ran as number %d", k, i, next[k])
				}
				next[k]++
				running[k].Add(-1)
			}))
		}
	}
	wg.Wait()
	pool.Close()
}

// Guards against a timer that fires late, twice, or after Stop.
func TestTimersFireOnceInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(Options{Workers: 2})
		start := time.Now()
		var fired []time.Duration
		record := Func(func() { fired = append(fired, time.Since(start)) })
		pool.After(30*time.Millisecond, "k", record)
		pool.After(10*time.Millisecond, "k", record)
		stopped := pool.After(20*time.Millisecond, "k", record)
		stopped.Stop()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, fired, []time.Duration{10 * time.Millisecond, 30 * time.Millisecond})
		pool.Close()
	})
}

// Guards against a call whose result is lost or whose context outlives the pool.
func TestCallPostsItsResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(Options{Workers: 1})
		var got error
		block := func(ctx context.Context) (int, error) {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		Call(pool, "k", time.Second, block, func(_ int, err error) { got = err })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Assert(t, errors.Is(got, context.DeadlineExceeded))
		Call(pool, "k", time.Hour, block, func(int, error) {})
		pool.Close()
	})
}
