package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/engine"
)

// leavingLimit is the longest time for which a leaving upstream may get new
// work (docs/design.md, 1.2).
const leavingLimit = 3 * time.Second

// listReadTime is enough for an instance to read the platform's list, which it
// polls every 2 s by default, and to see the engine listed as working. An
// instance that has never seen the engine as working marks it 30 s later.
const listReadTime = 3 * time.Second

// Guards against a leaving engine that still gets new work after the limit, for
// each source from which instances learn of it, and against requests that fail
// meanwhile.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	sources := map[string]func(testing.TB, *cluster){
		"upstream itself": func(t testing.TB, c *cluster) {
			sendJSON(t, http.MethodPost, "http://"+c.engines[0]+standin.LeavePath, engineapi.LeavingNotice{DeadlineMS: 60_000})
		},
		"platform list": func(t testing.TB, c *cluster) { c.putListEntry(t, 0, true) },
		"document":      func(t testing.TB, c *cluster) { assert.NilError(t, c.promote(1, "engine0")) },
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, plan{instances: 3, engines: 2, defaultPolls: true, engineFlags: []string{"--token-time", "2ms"}})
			assert.NilError(t, c.await(c.upstreamsReported))
			c.putListEntry(t, 0, false)
			stopLoad := c.startLoad(t)
			defer stopLoad()
			time.Sleep(listReadTime)
			before := c.acceptedRequests(t, 0)
			assert.Assert(t, before > 0, "the engine gets work before it leaves")
			leave(t, c)
			time.Sleep(leavingLimit)
			atLimit := c.acceptedRequests(t, 0)
			time.Sleep(2 * time.Second)
			assert.Equal(t, c.acceptedRequests(t, 0), atLimit, "new work after %v", leavingLimit)
			sent := stopLoad()
			t.Logf("%d requests; the leaving engine got %d within %v", sent, atLimit-before, leavingLimit)
		})
	}
}

// upstreamsReported reports whether each instance has a report of every upstream.
func (c *cluster) upstreamsReported() bool {
	for _, address := range c.callerAddrs {
		resp, err := http.Get("http://" + address + debugapi.UpstreamsPath)
		if err != nil {
			return false
		}
		var known debugapi.Upstreams
		err = json.NewDecoder(resp.Body).Decode(&known)
		resp.Body.Close()
		if err != nil || slices.ContainsFunc(known.Upstreams, func(u debugapi.Upstream) bool { return u.Age == nil }) {
			return false
		}
	}
	return true
}

// putListEntry writes the entry of an engine in the platform's list.
func (c *cluster) putListEntry(t testing.TB, i int, leaving bool) {
	t.Helper()
	entry := platformapi.UpstreamEntry(model.Upstream{
		ID: model.UpstreamID(c.engine[i].name), Kind: model.KindEngine, Address: c.engines[i],
		Region: "local", Serves: modelName, Version: version,
	}, leaving)
	sendJSON(t, http.MethodPut, c.platform+platformapi.InstancePath(entry.ID), entry)
}

// startLoad sends short generations through all instances until the returned
// function is called, which returns their number.
func (c *cluster) startLoad(t testing.TB) (stop func() int64) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var sent atomic.Int64
	for i := range c.callerAddrs {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := fmt.Sprintf(`{"model":%q,"prompt":"request %d of %d","max_tokens":5}`, modelName, n, i)
				if got := c.post(t, i, "/v1/completions", body, nil); got.status != http.StatusOK {
					t.Errorf("request through instance %d: status %d, code %q", i, got.status, got.code())
					return
				}
				sent.Add(1)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() int64 {
		cancel()
		running.Wait()
		return sent.Load()
	}
}

// acceptedRequests returns the number of requests that an engine accepted.
func (c *cluster) acceptedRequests(t testing.TB, i int) int64 {
	t.Helper()
	var stats engine.Stats
	getJSON(t, "http://"+c.engines[i]+standin.StatsPath, &stats)
	return stats.Streams
}

func sendJSON(t testing.TB, method, url string, body any) {
	t.Helper()
	text, err := json.Marshal(body)
	assert.NilError(t, err)
	req, err := http.NewRequest(method, url, bytes.NewReader(text))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Assert(t, resp.StatusCode/100 == 2, "%s %s: %s", method, url, resp.Status)
}
