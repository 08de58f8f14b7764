package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
)

// crashes are the times at which workers crashed.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
}

func (c *crashes) add(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, at)
}

// count returns the number of crashes so far.
func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.times)
}

// at returns the time of a crash, counted from 0.
func (c *crashes) at(i int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.times[i]
}

// since returns the number of crashes later than the given time.
func (c *crashes) since(at time.Time) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.times {
		if t.After(at) {
			n++
		}
	}
	return n
}

// startCrashingEdges starts instances before engines that crash when they run what
// opts says, and are back after a second.
func startCrashingEdges(t *testing.T, opts fleet.WorkerOptions) (*edges, *crashes) {
	t.Helper()
	e := startEdges(t, 3)
	seen := &crashes{}
	opts.Service, opts.Slots, opts.Events = "engine", 8, 20
	opts.Interval, opts.PrefillTime = 30*time.Millisecond, 50*time.Millisecond
	var add func(i, life int)
	add = func(i, life int) {
		opts := opts
		opts.ID, opts.Zone = fmt.Sprintf("weak%d.%d", i, life), string(rune('a'+i%3))
		opts.OnCrash = func(w *fleet.Worker) {
			seen.add(time.Now())
			time.Sleep(time.Second)
			e.fleet.Store.Remove("servers", w.ID())
			add(i, life+1)
		}
		_, err := e.fleet.Add(opts)
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
	return e, seen
}

// Guards against a request that crashes every worker that runs it and is sent
// again through one instance after the other until no worker is left, and
// against the refusal of other requests because of it.
func TestEdgesRefuseARequestThatEndsWorkers(t *testing.T) {
	t.Parallel()
	const deadly = "/log/deadly"
	e, seen := startCrashingEdges(t, fleet.WorkerOptions{CrashOn: deadly})
	var statuses []int
	for try := range 9 {
		resp, err := http.DefaultClient.Do(e.request(try%3, "POST", deadly))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		statuses = append(statuses, resp.StatusCode)
		time.Sleep(700 * time.Millisecond)
	}
	assert.Assert(t, seen.count() >= 3, "%d crashes, statuses %v", seen.count(), statuses)
	// Within 3 s of the third crash all instances must refuse the request.
	assert.Equal(t, seen.since(seen.at(2).Add(3*time.Second)), 0, "statuses %v", statuses)
	assert.Equal(t, statuses[len(statuses)-1], http.StatusServiceUnavailable, "%v", statuses)
	req := e.request(0, "POST", "/log/1")
	status, body, _ := e.do(req)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, wantStream(req.Header.Get("X-Attempt-Id"), 20))
}

// Guards against a request whose copies come at all instances at once: each instance took
// the crashes of the others for an outage, and the copies crashed workers again and again.
func TestEdgesRefuseCopiesOfARequestThatEndsWorkers(t *testing.T) {
	t.Parallel()
	const deadly = "/log/deadly"
	e, seen := startCrashingEdges(t, fleet.WorkerOptions{CrashOn: deadly})
	for range 5 {
		var wave sync.WaitGroup
		for edge := range 3 {
			req := e.request(edge, "POST", deadly)
			wave.Go(func() {
				resp, err := http.DefaultClient.Do(req)
				if assert.Check(t, err) {
					assert.Check(t, resp.Body.Close())
				}
			})
		}
		wave.Wait()
		time.Sleep(1500 * time.Millisecond) // all workers are back
	}
	assert.Assert(t, seen.count() >= 3, "%d crashes", seen.count())
	late := seen.since(seen.at(2).Add(3 * time.Second))
	assert.Assert(t, late <= 3, "%d crashes later than 3 s after the third", late)
}

// Guards against an instance that was started after workers crashed and lets the
// request, which the others refuse, crash more of them.
func TestStartedEdgeKnowsEarlierCrashes(t *testing.T) {
	t.Parallel()
	const deadly = "/log/deadly"
	e, seen := startCrashingEdges(t, fleet.WorkerOptions{CrashOn: deadly})
	for try := range 3 {
		resp, err := http.DefaultClient.Do(e.request(try, "POST", deadly))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		time.Sleep(700 * time.Millisecond)
	}
	assert.Assert(t, seen.count() >= 3, "%d crashes", seen.count())
	e.procs[0].kill()
	assert.NilError(t, e.procs[0].start())
	e.awaitReady()
	time.Sleep(3 * time.Second) // the time after which the platform's bounds hold for a started instance
	before := seen.count()
	resp, err := http.DefaultClient.Do(e.request(0, "POST", deadly))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, seen.count(), before)
}

// Guards against requests that differ, come through all instances, and crash workers one
// after the other because their prompts have one part in common; and against refusals of
// requests with their other parts.
func TestEdgesRefuseAPartThatEndsWorkers(t *testing.T) {
	t.Parallel()
	e, seen := startCrashingEdges(t, fleet.WorkerOptions{CrashOnPart: "deadly"})
	post := func(edge int, parts string) int {
		req := e.request(edge, "POST", "/log/1")
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s,own%d:100", parts, e.lastRequest))
		req.Body = io.NopCloser(strings.NewReader(req.Header.Get("X-Attempt-Id")))
		req.ContentLength = int64(len(req.Header.Get("X-Attempt-Id")))
		status, _, _ := e.do(req)
		return status
	}
	var statuses []int
	for try := range 9 {
		statuses = append(statuses, post(try%3, "first:200,deadly:300"))
		time.Sleep(700 * time.Millisecond)
	}
	assert.Assert(t, seen.count() >= 3, "%d crashes, statuses %v", seen.count(), statuses)
	assert.Assert(t, seen.count() <= 5, "%d crashes, statuses %v", seen.count(), statuses)
	assert.Equal(t, statuses[len(statuses)-1], http.StatusServiceUnavailable, "%v", statuses)
	for edge := range 3 {
		assert.Equal(t, post(edge, "first:200"), http.StatusOK)
	}
}
