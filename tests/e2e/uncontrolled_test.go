package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
	"gotest.tools/v3/assert"
)

// The crowd and the limits of these tests were fixed before the product had limits for
// them. The memory is that of the smallest instances; the descriptors are lowered so that
// a small crowd exceeds them.
const (
	crowdMemoryMB    = 136
	crowdDescriptors = 700
	crowdConnections = 600  // with heads
	crowdIdle        = 1000 // without a request
	crowdBodies      = 60
	crowdReaders     = 60      // of large answers
	crowdAnswerBytes = 4 << 20 // of one large answer
	crowdHeadBytes   = 16384
	crowdBodyBytes   = 4 << 20
	crowdTime        = 5 * time.Second // how long the crowd holds its connections
)

// crowdRules are rules with the limits of the users' deployments.
var crowdRules = strings.Replace(fleet.Rules, `"limits":{"maxBodyBytes":65536}`,
	`"limits":{"maxBodyBytes":4194304,"maxHeaderBytes":16384,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`, 1)

// crowdTarget is the process that a crowd meets.
type crowdTarget struct {
	t           *testing.T
	address     string
	peers       int // UDP port for peers, of an edged process
	process     *process
	memoryMB    int
	descriptors int
	request     func() *http.Request // an ordinary one
}

func startCrowdTarget(t *testing.T) *crowdTarget {
	t.Helper()
	e := startEdges(t, 0)
	e.add(fleet.WorkerOptions{ID: "large", Service: "large", Zone: "a", Slots: 1000, Advertise: func(listen string) string { return answerLarge(t, listen) }})
	ports := e.choosePorts()
	dir := t.TempDir()
	file := e.writeSettings(dir, 0, e.fleet.StoreAddress(), ports, 0.8)
	addLimits(t, file)
	proc := newProcess(dir, "edge0", "edged", file)
	assert.NilError(t, proc.start())
	e.procs, e.ports = append(e.procs, proc), append(e.ports, ports)
	e.changePorts = append(e.changePorts, func() {
		e.ports[0] = e.choosePorts()
		addLimits(t, e.writeSettings(dir, 0, e.fleet.StoreAddress(), e.ports[0], 0.8))
	})
	rules := fmt.Sprintf(strings.Replace(crowdRules, `"routes":[`,
		`"routes":[{"name":"large","host":"h.example","prefix":"/large/","kind":"idempotent","timeoutMs":20000,"service":"large","maxAttempts":1},`, 1), 1)
	rules = strings.Replace(rules, `{"name":"desk"}`, `{"name":"desk"},{"name":"large"}`, 1)
	e.fleet.Store.Put("op", "config", []byte(rules))
	e.awaitReady()
	c := &crowdTarget{
		t: t, process: proc, address: fmt.Sprintf("127.0.0.1:%d", e.ports[0].callers), peers: e.ports[0].peers, memoryMB: crowdMemoryMB, descriptors: crowdDescriptors,
		request: func() *http.Request { return e.request(0, "POST", "/read/1") },
	}
	eventually(t, 10*time.Second, "an ordinary request is answered before the crowd", c.answers)
	return c
}

// addLimits adds the limits of the instance to its settings.
func addLimits(t *testing.T, file string) {
	t.Helper()
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	var settings map[string]any
	assert.NilError(t, json.Unmarshal(raw, &settings))
	settings["limits"] = map[string]any{"memoryMb": crowdMemoryMB, "maxFds": crowdDescriptors}
	raw, err = json.Marshal(settings)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Clean(file), raw, 0o600))
}

// answerLarge starts a proxy in front of a worker that gives its answers a large body.
func answerLarge(t *testing.T, worker string) string {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: worker})
	proxy.ModifyResponse = func(r *http.Response) error {
		if r.StatusCode != http.StatusOK || !strings.HasPrefix(r.Request.URL.Path, "/large/") {
			return nil
		}
		_ = r.Body.Close()
		r.Body = io.NopCloser(bytes.NewReader(make([]byte, crowdAnswerBytes)))
		r.ContentLength = crowdAnswerBytes
		r.Header.Set("Content-Length", strconv.Itoa(crowdAnswerBytes))
		return nil
	}
	server := httptest.NewServer(proxy)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// answers reports whether an ordinary request gets its answer.
func (c *crowdTarget) answers() bool {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(c.request())
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// head returns the start of a request head, up to the crowd's own lines.
func (c *crowdTarget) head(path string, i int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd%d\r\nX-Deadline-Remaining: 20000\r\nAuthorization: Token key\r\n", path, i)
}

// meet has each member of the crowd open a connection and run. All hold their connections
// until crowdTime is over. Then it checks the process.
func (c *crowdTarget) meet(members int, run func(i int, conn net.Conn)) {
	c.t.Helper()
	stop := make(chan struct{})
	var maxFiles int
	var watch, crowd sync.WaitGroup
	watch.Go(func() {
		for {
			maxFiles = max(maxFiles, c.openFiles())
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	end := time.Now().Add(crowdTime)
	for i := range members {
		crowd.Go(func() {
			conn, err := net.DialTimeout("tcp", c.address, crowdTime)
			if err != nil {
				return // a refused connection is allowed
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(end)
			run(i, conn)
			time.Sleep(time.Until(end))
		})
	}
	crowd.Wait()
	close(stop)
	watch.Wait()
	assert.Check(c.t, c.process.running(), "the process has ended")
	if c.process.running() {
		peak := c.peakMemory()
		c.t.Logf("peak memory %.1f MB of %d, descriptors %d of %d", float64(peak)/1e6, c.memoryMB, maxFiles, c.descriptors)
		assert.Check(c.t, peak <= c.memoryMB*1_000_000, "peak memory is %d bytes", peak)
		assert.Check(c.t, maxFiles <= c.descriptors, "%d descriptors were open", maxFiles)
	}
	eventually(c.t, 10*time.Second, "an ordinary request is answered after the crowd", c.answers)
}

func (c *crowdTarget) proc(name string) string {
	cmd, _ := c.process.current()
	return fmt.Sprintf("/proc/%d/%s", cmd.Process.Pid, name)
}

// openFiles returns the number of open descriptors, 0 if the process has ended.
func (c *crowdTarget) openFiles() int {
	files, _ := os.ReadDir(c.proc("fd"))
	return len(files)
}

// peakMemory returns the peak resident set in bytes.
func (c *crowdTarget) peakMemory() int {
	c.t.Helper()
	status, err := os.ReadFile(c.proc("status"))
	assert.NilError(c.t, err)
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(c.t, err)
			return kb << 10
		}
	}
	c.t.Fatal("the status has no VmHWM")
	return 0
}

// heldHead sends a whole head with the lines, whose body is announced and not sent, so that
// its request stays.
func (c *crowdTarget) heldHead(line func(i, n int) string) func(i int, conn net.Conn) {
	return func(i int, conn net.Conn) {
		var text strings.Builder
		text.WriteString(c.head("/book/1", i))
		text.WriteString("Content-Length: 10\r\n")
		for n := 0; ; n++ {
			next := line(i, n)
			if text.Len()+len(next)+2 > crowdHeadBytes {
				break
			}
			text.WriteString(next)
		}
		text.WriteString("\r\n")
		_, _ = io.WriteString(conn, text.String())
	}
}

// repeat sends the text again and again until the connection ends.
func repeat(start, text string) func(i int, conn net.Conn) {
	block := strings.Repeat(text, 4096/len(text))
	return func(_ int, conn net.Conn) {
		_, err := io.WriteString(conn, start)
		for err == nil {
			_, err = io.WriteString(conn, block)
		}
	}
}

// Guards against a process that runs out of memory because parsed heads take many times
// their bytes.
func TestUncontrolledDistinctHeaderLines(t *testing.T) {
	c := startCrowdTarget(t)
	c.meet(crowdConnections, c.heldHead(func(_, n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" }))
}

// Guards against the same cause with lines of one name.
func TestUncontrolledEqualHeaderLines(t *testing.T) {
	c := startCrowdTarget(t)
	c.meet(crowdConnections, c.heldHead(func(int, int) string { return "a:\r\n" }))
}

// Guards against a process that ends or hangs on lines that are unusual or malformed.
func TestUncontrolledOddHeaderLines(t *testing.T) {
	c := startCrowdTarget(t)
	lines := []string{"a:\n", "!#$%&'*+-.^_`|~: \t\r\n", ":\r\n", "a b: c\r\n", " folded\r\n", "a:\x00\r\n", "\x80: x\r\n", "a:\xff\xfe\r\n", "A:" + strings.Repeat(" ", 40) + "\r\n"}
	c.meet(crowdConnections, func(i int, conn net.Conn) {
		c.heldHead(func(i, n int) string { return lines[(i+n*(i%2))%len(lines)] })(i, conn)
	})
}

// Guards against memory that heads over the limit take.
func TestUncontrolledHeadsOverTheLimit(t *testing.T) {
	c := startCrowdTarget(t)
	c.meet(crowdConnections, func(i int, conn net.Conn) {
		var text strings.Builder
		text.WriteString(c.head("/book/1", i))
		for n := 0; text.Len() < 60<<10; n++ {
			text.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
		}
		text.WriteString("Content-Length: 10\r\n\r\n")
		_, _ = io.WriteString(conn, text.String())
	})
}

// Guards against memory that heads without end take.
func TestUncontrolledEndlessHeads(t *testing.T) {
	c := startCrowdTarget(t)
	c.meet(crowdConnections, repeat(c.head("/book/1", 0), "ab:\r\n"))
}

// Guards against memory and time that empty lines before a request take.
func TestUncontrolledEmptyLines(t *testing.T) {
	c := startCrowdTarget(t)
	c.meet(crowdConnections, repeat("", "\r\n"))
}

// Guards against memory that heads take whose rest arrives slowly.
func TestUncontrolledSlowHeads(t *testing.T) {
	c := startCrowdTarget(t)
	c.meet(crowdConnections, func(i int, conn net.Conn) {
		var text strings.Builder
		text.WriteString(c.head("/book/1", i))
		for n := 0; text.Len() < crowdHeadBytes-100; n++ {
			text.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
		}
		_, err := io.WriteString(conn, text.String())
		for n := 0; err == nil; n++ {
			time.Sleep(500 * time.Millisecond)
			_, err = io.WriteString(conn, "z:\r\n")
		}
	})
}

// Guards against memory that bodies take while they arrive and while their requests run.
func TestUncontrolledBodies(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunks": true} {
		t.Run(name, func(t *testing.T) {
			c := startCrowdTarget(t)
			block := make([]byte, 64<<10)
			c.meet(crowdBodies, func(i int, conn net.Conn) {
				framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)
				if chunked {
					framing = "Transfer-Encoding: chunked\r\n\r\n"
				}
				_, err := io.WriteString(conn, c.head("/book/1", i)+framing)
				// The last block is not sent, so that the body stays.
				for n := len(block); n < crowdBodyBytes && err == nil; n += len(block) {
					if chunked {
						_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(block), block)
						continue
					}
					_, err = conn.Write(block)
				}
			})
		})
	}
}

// Guards against descriptors and memory that connections without a request take.
func TestUncontrolledIdleConnections(t *testing.T) {
	c := startCrowdTarget(t)
	c.meet(crowdIdle, func(i int, conn net.Conn) {
		if i%2 == 0 {
			return // no byte at all
		}
		_, _ = io.WriteString(conn, "GET /none HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: idle\r\n\r\n")
		_, _ = conn.Read(make([]byte, 4096))
	})
}

// Guards against memory that answers take whose callers do not read them.
func TestUncontrolledSlowReaders(t *testing.T) {
	c := startCrowdTarget(t)
	c.meet(crowdReaders, func(i int, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, c.head("/large/1", i)+"Content-Length: 0\r\n\r\n")
	})
}
