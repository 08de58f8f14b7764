package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
	"gotest.tools/v3/assert"
)

// moveStatus returns the state and the target version of the desk's move from the
// status row that operators read.
func (e *edges) moveStatus() string {
	var s struct{ State, To string }
	data := e.fleet.Store.Get("status", "rollout/desk")
	if data == nil {
		return ""
	}
	assert.NilError(e.t, json.Unmarshal(data, &s))
	return s.State + " " + s.To
}

// startLoad sends bookings and lookups to all instances but the first in turn.
// The returned function stops the load and returns the numbers of requests that
// were sent and that failed.
func (e *edges) startLoad(each time.Duration) (stop func() (sent, failed int)) {
	var running sync.WaitGroup
	var sent, failed atomic.Int64
	done := make(chan struct{})
	running.Go(func() {
		ticker := time.NewTicker(each)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
			case <-done:
				return
			}
			req := e.request(1+i%(len(e.ports)-1), "POST", []string{"/book/1", "/read/1"}[i%2])
			sent.Add(1)
			running.Go(func() {
				resp, err := http.DefaultClient.Do(req)
				if err != nil || resp.Body.Close() != nil || resp.StatusCode != http.StatusOK {
					failed.Add(1)
				}
			})
		}
	})
	return func() (int, int) {
		close(done)
		running.Wait()
		return int(sent.Load()), int(failed.Load())
	}
}

// orderMove starts workers of the version and orders the desk's move to it.
func (e *edges) orderMove(version string, within time.Duration, failEvery int) {
	for i := range 3 {
		e.add(fleet.WorkerOptions{
			ID: fmt.Sprintf("desk-%s-%d", version, i), Service: "desk", Zone: string(rune('a' + i)), Version: version,
			Slots: 6, WorkTime: 20 * time.Millisecond, FailEvery: failEvery,
		})
	}
	e.fleet.Store.Put("op", "rollout/desk", fmt.Appendf(nil, `{"service":"desk","to":%q,"durationS":%v}`, version, within.Seconds()))
}

// countRuns counts the requests that workers of the version ran.
func (e *edges) countRuns(version string) (n int) {
	for _, w := range e.fleet.Workers("desk") {
		if w.Version() == version {
			n += len(w.Runs())
		}
	}
	return n
}

// Guards against the move to a good version not completing in time when the
// instance that decides on it is killed, and against requests that fail meanwhile.
func TestEdgesCompleteAGoodMove(t *testing.T) {
	e := startEdges(t, 3)
	e.publishRules()
	e.awaitReady()
	stop := e.startLoad(15 * time.Millisecond)
	const within = 16 * time.Second
	ordered := time.Now()
	e.orderMove("v2", within, 0)
	eventually(t, 3*time.Second, "the move is under way", func() bool { return e.moveStatus() == "in_progress v2" })
	time.Sleep(4 * time.Second)
	share := float64(e.countRuns("v2"))
	e.procs[0].kill() // the instance with the lowest name reads the store and decides on moves
	eventually(t, within, "the move is completed", func() bool { return e.moveStatus() == "completed v2" })
	took := time.Since(ordered)
	_, failed := stop()
	assert.Assert(t, took < within, "%s", took)
	assert.Assert(t, share > 0 && share < 0.15*4*66, "%v requests of v2 in the first 4 s", share)
	assert.Equal(t, failed, 0)
}

// Guards against a move to a bad version that completes, or that sends the version
// much traffic before it is reverted.
func TestEdgesTakeBackABadMove(t *testing.T) {
	e := startEdges(t, 3)
	e.publishRules()
	e.awaitReady()
	stop := e.startLoad(15 * time.Millisecond)
	e.orderMove("v2", 30*time.Second, 2)
	eventually(t, 20*time.Second, "the move is taken back", func() bool { return e.moveStatus() == "reverted v2" })
	time.Sleep(time.Second)
	before := e.countRuns("v2")
	time.Sleep(2 * time.Second)
	assert.Equal(t, e.countRuns("v2"), before)
	sent, _ := stop()
	assert.Assert(t, before < 50+sent/10, "%d of %d", before, sent)
}
