package e2e

import (
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
	"gotest.tools/v3/assert"
)

func (e *edges) worker(id string) *fleet.Worker {
	e.t.Helper()
	workers := e.fleet.Workers("")
	i := slices.IndexFunc(workers, func(w *fleet.Worker) bool { return w.ID() == id })
	if i < 0 {
		e.t.Fatalf("no worker has the ID %q", id)
	}
	return workers[i]
}

// Guards against requests to a worker that says in its answers that it leaves, by an
// instance that cannot reach the store, and by the others of its cell.
func TestEdgesBelieveAWorkerThatSaysItLeaves(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 2)
	e.publishRules()
	e.awaitReady()
	call := func(edge int) (leaving bool) {
		status, _, header := e.do(e.request(edge, "POST", "/book/1"))
		assert.Equal(t, status, http.StatusOK)
		return header.Get("Server-Leaving") != ""
	}
	e.fleet.Store.SetFault(fleet.FaultUnavailable)
	worker := e.worker("desk0") // in the zone of edge 0, which prefers it
	worker.SetLeaving()
	eventually(t, 10*time.Second, "the leaving worker answers", func() bool { return call(0) })
	time.Sleep(500 * time.Millisecond) // the other instance gets the state within milliseconds
	before := len(worker.Runs())
	for range 30 {
		call(0)
		call(1)
	}
	assert.Equal(t, len(worker.Runs()), before)
}

// Guards against requests to a worker that asked for a pause, and against requests that
// are held although no worker takes them in time.
func TestEdgeKeepsToThePausesOfWorkers(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 1)
	e.publishRules()
	e.awaitReady()
	const pause = 3 * time.Second
	desks := e.fleet.Workers("desk")
	near := e.worker("desk0") // in the zone of edge 0
	near.Pause(pause)
	began := time.Now()
	for time.Since(began) < pause-500*time.Millisecond {
		status, _, _ := e.do(e.request(0, "POST", "/book/1"))
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, len(near.Rejections()), 1)
	for _, w := range desks {
		w.Pause(20 * time.Second) // longer than the route's time limit
	}
	var header http.Header
	for range len(desks) + 1 {
		began = time.Now()
		var status int
		status, _, header = e.do(e.request(0, "POST", "/book/1"))
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Assert(t, time.Since(began) < time.Second, "held for %v", time.Since(began))
	wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, wait > 10 && wait <= 20, "%v", wait)
}
