package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
	"gotest.tools/v3/assert"
)

// Guards against a planned stop that cuts requests, and against callers that
// are directed to the stopping instance.
func TestEdgeStopsWithoutCuttingRequests(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 2)
	e.publishRules()
	e.awaitReady()
	addresses := func() string {
		resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/v1/resolution?name=h.example&region=r&zone=b", e.ports[1].directory))
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return string(body)
	}
	stopped := fmt.Sprintf("127.0.0.1:%d", e.ports[0].callers)
	eventually(t, 6*time.Second, "both instances are answered", func() bool { return strings.Contains(addresses(), stopped) })
	req := e.request(0, "POST", "/log/1")
	id := req.Header.Get("X-Attempt-Id")
	var body string
	var running sync.WaitGroup
	running.Go(func() { _, body, _ = e.do(req) })
	time.Sleep(300 * time.Millisecond)
	e.procs[0].signal(syscall.SIGTERM)
	eventually(t, 3*time.Second, "the stopping instance is left out", func() bool { return !strings.Contains(addresses(), stopped) })
	running.Wait()
	assert.Equal(t, body, wantStream(id, 60))
	assert.Equal(t, e.procs[0].exitCode(t, 9*time.Second), 0)
}

// Guards against a planned stop that closes the connection of a request although its
// worker is only slow: the caller would not know whether to send it again.
func TestStopAnswersRequestsOfSlowWorkers(t *testing.T) {
	t.Parallel()
	f, err := fleet.Start("127.0.0.1:0")
	assert.NilError(t, err)
	e := &edges{t: t, fleet: f}
	t.Cleanup(func() {
		e.procs[0].kill()
		assert.Check(t, f.Close())
	})
	e.add(fleet.WorkerOptions{ID: "desk0", Service: "desk", Zone: "a", Slots: 6, WorkTime: 4500 * time.Millisecond})
	e.startEdge(t.TempDir(), 0, f.StoreAddress())
	e.publishRules()
	e.awaitReady()
	e.procs[0].signal(syscall.SIGTERM)
	// One request that may end in time and one that may not, both allowed 5 s by their route.
	var all sync.WaitGroup
	for after, want := range map[time.Duration]int{1500 * time.Millisecond: http.StatusOK, 4 * time.Second: http.StatusServiceUnavailable} {
		req := e.request(0, "POST", "/book/1")
		all.Go(func() {
			time.Sleep(after)
			resp, err := http.DefaultClient.Do(req)
			if assert.Check(t, err, "sent after %v", after) {
				assert.Check(t, resp.StatusCode == want, "sent after %v: %d", after, resp.StatusCode)
				assert.Check(t, resp.Body.Close())
			}
		})
	}
	all.Wait()
}

// startBlocked starts an edged that waits for its settings: they are a named pipe that
// nobody has written to.
func startBlocked(t *testing.T) (p *process, settings string) {
	t.Helper()
	dir := t.TempDir()
	settings = filepath.Join(dir, "settings")
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	p = newProcess(dir, "edge", "edged", settings)
	assert.NilError(t, p.start())
	t.Cleanup(p.kill)
	time.Sleep(time.Second)
	return p, settings
}

// Guards against a process that SIGHUP ends while it starts.
func TestReloadDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	t.Parallel()
	p, _ := startBlocked(t)
	p.signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, p.running())
}

// Guards against a planned stop during the start that ends the process by its signal
// and not gracefully: the others would not learn that the instance leaves.
func TestStopDuringTheStartIsGraceful(t *testing.T) {
	t.Parallel()
	f, err := fleet.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.Check(t, f.Close()) }()
	e := &edges{t: t, fleet: f}
	settings, err := os.ReadFile(e.writeSettings(t.TempDir(), 0, f.StoreAddress(), edgePorts{freePort(t), freePort(t), freePort(t), freePort(t)}, 0.8))
	assert.NilError(t, err)
	p, file := startBlocked(t)
	p.signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, p.running())
	assert.NilError(t, os.WriteFile(file, settings, 0o600))
	assert.Equal(t, p.exitCode(t, 10*time.Second), 0, p.tail(8))
}
