package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
)

// Guards against a request that crashes every worker that runs it and is sent
// again through one instance after the other until no worker is left, and
// against the refusal of other requests because of it.
func TestEdgesRefuseARequestThatEndsWorkers(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 3)
	const deadly = "/log/deadly"
	var mu sync.Mutex
	var deaths []time.Time
	var add func(i, life int)
	add = func(i, life int) {
		_, err := e.fleet.Add(fleet.WorkerOptions{
			ID: fmt.Sprintf("weak%d.%d", i, life), Service: "engine", Zone: string(rune('a' + i%3)), Slots: 8, Events: 20,
			Interval: 30 * time.Millisecond, PrefillTime: 50 * time.Millisecond, CrashOn: deadly,
			OnCrash: func(w *fleet.Worker) {
				mu.Lock()
				deaths = append(deaths, time.Now())
				mu.Unlock()
				time.Sleep(time.Second)
				e.fleet.Store.Remove("servers", w.ID())
				add(i, life+1)
			},
		})
		assert.Check(t, err)
	}
	for i := range 8 {
		add(i, 1)
	}
	for _, w := range e.fleet.Workers("engine") {
		if w.ID()[0] == 'e' { // the engines of other tests do not crash
			e.fleet.Store.Remove("servers", w.ID())
			e.fleet.Crash(w)
		}
	}
	e.publishRules()
	e.awaitReady()
	var statuses []int
	for try := range 9 {
		resp, err := http.DefaultClient.Do(e.request(try%3, "POST", deadly))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		statuses = append(statuses, resp.StatusCode)
		time.Sleep(700 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, len(deaths) >= 3, "%d deaths, statuses %v", len(deaths), statuses)
	lateDeaths := 0
	for _, at := range deaths {
		if at.Sub(deaths[2]) > 3*time.Second { // within 3 s all instances must refuse the request
			lateDeaths++
		}
	}
	assert.Equal(t, lateDeaths, 0, "statuses %v", statuses)
	assert.Equal(t, statuses[len(statuses)-1], http.StatusServiceUnavailable, "%v", statuses)
	req := e.request(0, "POST", "/log/1")
	status, body, _ := e.do(req)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, wantStream(req.Header.Get("X-Attempt-Id"), 20))
}
