package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerclient"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer/devcert"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/service"
)

const (
	maxProcesses = 36 // of all clusters that run at the same time
	modelName    = "writer"
	version      = "v1"
	startLimit   = 15 * time.Second
)

var processBudget = semaphore.NewWeighted(maxProcesses)

// plan says what a cluster consists of besides the platform.
type plan struct {
	instances   int
	engines     int
	services    int
	engineFlags []string
	bodyBytes   int  // limit of the callers' server; zero means the default
	slowPolls   bool // poll as by default, not faster to make tests short
	adapted     int  // engines for which the document names adapterName
	// guarded gives each process a debug address with TLS and a credential.
	guarded bool
}

// cluster is a local deployment.
type cluster struct {
	plan
	dir      string
	platform string // URL
	engine   []*process
	entry    []*process
	control  []*process
	other    []*process
	engines  []string // addresses
	services []string
	callers  []string // addresses of the entry processes
	debug    []string // debug addresses of the entry processes, then of the control processes
	metrics  []string // addresses of the control processes' metrics
}

// startCluster starts a cluster and stops it at the end of the test.
func startCluster(t *testing.T, p plan) *cluster {
	t.Helper()
	count := int64(1 + p.engines + p.services + 2*p.instances)
	assert.NilError(t, processBudget.Acquire(context.Background(), count))
	t.Cleanup(func() { processBudget.Release(count) })
	var err error
	for range 3 { // another process can take a chosen port
		c := &cluster{plan: p, dir: t.TempDir()}
		t.Cleanup(c.stop)
		if err = c.run(t); err == nil {
			t.Cleanup(func() { c.report(t) })
			return c
		}
		c.report(t)
		c.stop()
	}
	t.Fatal(err)
	return nil
}

func (c *cluster) processes() []*process {
	all := append([]*process{}, c.other...)
	return append(append(append(all, c.engine...), c.control...), c.entry...)
}

func (c *cluster) stop() {
	for _, p := range c.processes() {
		p.kill()
	}
}

// report shows the ends of the logs of a failed test.
func (c *cluster) report(t *testing.T) {
	if !t.Failed() {
		return
	}
	for _, p := range append(c.entry, c.engine...) {
		t.Logf("--- log of %s ---\n%s", p.name, p.tail(12))
	}
}

func (c *cluster) run(t *testing.T) error {
	address := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort(t)) }
	platform := address()
	c.platform = "http://" + platform
	c.other = append(c.other, newProcess(c.dir, "platform", "standin", "platform", "--addr", platform))
	for i := range c.plan.engines {
		c.engines = append(c.engines, address())
		c.engine = append(c.engine, newProcess(c.dir, fmt.Sprintf("engine%d", i), "standin", append([]string{"engine",
			"--addr", c.engines[i], "--model", modelName, "--version", version}, c.engineFlags...)...))
	}
	for i := range c.plan.services {
		c.services = append(c.services, address())
		c.other = append(c.other, newProcess(c.dir, fmt.Sprintf("service%d", i), "standin", "service", "--addr", c.services[i],
			"--name", "desk", "--version", "1", "--idempotent", "GET /records", "--non-idempotent", "POST /bookings"))
	}
	if err := c.configure(address); err != nil {
		return err
	}
	for _, p := range c.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := c.await(func() bool { return status(c.platform+"/stats") == http.StatusOK }); err != nil {
		return err
	}
	if err := c.promote(0); err != nil {
		return err
	}
	return c.await(c.whole)
}

// configure writes the settings of the instances.
func (c *cluster) configure(address func() string) error {
	authority, err := devcert.New(c.dir)
	if err != nil {
		return err
	}
	var controls []string
	for range c.instances {
		c.callers = append(c.callers, address())
		controls = append(controls, address())
		c.metrics = append(c.metrics, address())
	}
	for i := range c.instances {
		name, peer := fmt.Sprintf("i%d", i), address()
		if _, err := authority.Issue(name); err != nil {
			return err
		}
		common := fmt.Sprintf("instance: %s\nregion: local\nfailure_domain: d%d\nenvironment: production\nplatform: %s\n"+
			"peers: [%s]\ntls: {cert: \"%[5]s/%[1]s.pem\", key: \"%[5]s/%[1]s.key\", ca: \"%[5]s/ca.pem\"}\n",
			name, i, c.platform, quoted(controls), c.dir)
		entry := common + fmt.Sprintf("listen: %s\npeer_listen: %s\ncontrol: %s\ndrain: {margin: 0s}\n", c.callers[i], peer, controls[i])
		if c.bodyBytes > 0 {
			entry += fmt.Sprintf("limits: {body_bytes: %d}\n", c.bodyBytes)
		}
		guard := func() string {
			if !c.guarded {
				return ""
			}
			c.debug = append(c.debug, address())
			return fmt.Sprintf("metrics_listen: %s\ndebug: {credential_sha256: %s, tls: {cert: \"%[3]s/%[4]s.pem\", key: \"%[3]s/%[4]s.key\"}}\n",
				c.debug[len(c.debug)-1], operatorDigest, c.dir, name)
		}
		entry += guard()
		control := common + guard() + fmt.Sprintf("peer_listen: %s\nentry: %s\nentry_advertised: %s\n", controls[i], peer, c.callers[i])
		if !c.guarded {
			control += fmt.Sprintf("metrics_listen: %s\n", c.metrics[i])
		}
		if !c.slowPolls {
			control += "polls: {document: 200ms, instances: 500ms, upstreams: 200ms}\n"
		}
		for kind, text := range map[string]string{"entryd": entry, "controld": control} {
			if err := os.WriteFile(filepath.Join(c.dir, kind+name+".yaml"), []byte(text), 0o600); err != nil {
				return err
			}
		}
		c.control = append(c.control, newProcess(c.dir, "control"+name, "controld", filepath.Join(c.dir, "controld"+name+".yaml")))
		c.entry = append(c.entry, newProcess(c.dir, "entry"+name, "entryd", filepath.Join(c.dir, "entryd"+name+".yaml")))
	}
	return nil
}

func quoted(list []string) string {
	return `"` + strings.Join(list, `", "`) + `"`
}

// promote puts a document with the cluster's upstreams, less those that leave,
// in force after the generation seen.
func (c *cluster) promote(seen int, leaving ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "organisations: [{id: large, weight: 4}, {id: small, weight: 1}]\n"+
		"models: [{name: %s, target: %q, max_queue: 500}]\n", modelName, version)
	if len(c.services) > 0 {
		b.WriteString("services:\n  - name: desk\n    target: \"1\"\n    routes:\n" +
			"      - {method: POST, path: /bookings, idempotent: false, timeout: 5s}\n" +
			"      - {method: GET, path: /records, idempotent: true, timeout: 2s}\n")
	}
	b.WriteString("upstreams:\n")
	row := func(kind, id, address, serves, version string, domain int, more string) {
		if slices.Contains(leaving, id) {
			return
		}
		fmt.Fprintf(&b, "  - {id: %s, kind: %s, address: %q, region: local, failure_domain: d%d, serves: %s, version: %q, %s}\n",
			id, kind, address, domain, serves, version, more)
	}
	for i, address := range c.engines {
		more := "fencing: ignored"
		if i < c.adapted { // a new lease holder waits 10 s before orders to engines that ignore fencing numbers
			more = "fencing: honoured, adapters: [" + adapterName + "]"
		}
		row("engine", fmt.Sprintf("engine%d", i), address, modelName, version, i%3, more)
	}
	for i, address := range c.services {
		row("service", fmt.Sprintf("service%d", i), address, "desk", "1", i%3, "fencing: ignored")
	}
	file := filepath.Join(c.dir, "environment.yaml")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		return err
	}
	for _, args := range [][]string{
		{"--file", file, "--to", "trial", "--seen", strconv.Itoa(seen)},
		{"--from", "trial", "--to", "production", "--seen", strconv.Itoa(seen)},
	} {
		out, err := exec.Command(filepath.Join(bin, "svctl"), append([]string{"--platform", c.platform, "promote"}, args...)...).CombinedOutput()
		if err != nil {
			return fmt.Errorf("promote: %w: %s", err, out)
		}
	}
	return nil
}

// whole reports whether each instance is ready and knows all others.
func (c *cluster) whole() bool {
	for i := range c.callers {
		known, err := callerclient.New("", c.callers[i]).Endpoints(context.Background(), c.callers[i])
		if err != nil || len(known.Endpoints) != c.instances || status("http://"+c.callers[i]+"/readyz") != http.StatusOK {
			return false
		}
	}
	return true
}

// await waits for a condition while all processes run.
func (c *cluster) await(condition func() bool) error {
	deadline := time.Now().Add(startLimit)
	for time.Now().Before(deadline) {
		if condition() {
			return nil
		}
		for _, p := range c.processes() {
			if !p.running() {
				return fmt.Errorf("%s did not start: %s", p.name, p.tail(3))
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("cluster is not ready after %v", startLimit)
}

// status returns the status of a GET, 0 if there is no answer.
func status(url string) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// faults sets the faults of a stand-in.
func faults(t testing.TB, address, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+strings.TrimPrefix(address, "http://")+"/faults", strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// executions returns how often each key ran, on all services.
func (c *cluster) executions(t testing.TB) map[string]int64 {
	t.Helper()
	total := map[string]int64{}
	for _, address := range c.services {
		var counts service.Executions
		getJSON(t, "http://"+address+service.ExecutionsPath, &counts)
		for key, n := range counts.ByKey {
			total[key] += n
		}
	}
	return total
}

func getJSON(t testing.TB, url string, into any) {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "%s: %s", url, body)
	assert.NilError(t, json.NewDecoder(bytes.NewReader(body)).Decode(into))
}

// owner returns the index of the instance that a request ID names.
func owner(t testing.TB, request string) int {
	t.Helper()
	var i int
	_, err := fmt.Sscanf(request, "i%d-", &i)
	assert.NilError(t, err, request)
	return i
}

// runnerOf returns the entry process that has a request under way.
func (c *cluster) runnerOf(t testing.TB, request string) *process {
	t.Helper()
	for i, p := range c.entry {
		if !p.running() {
			continue
		}
		if c.explain(t, i, request).State == "running" {
			return p
		}
	}
	t.Fatalf("no instance runs request %s", request)
	return nil
}

// explain returns what an instance remembers of a request; nothing for one that
// it does not know.
func (c *cluster) explain(t testing.TB, instance int, request string) debugapi.Request {
	t.Helper()
	var known debugapi.Request
	if r := c.request(t, instance, http.MethodGet, debugapi.RequestPath+request, "", nil); r.status == http.StatusOK {
		assert.NilError(t, json.Unmarshal(r.body, &known))
	}
	return known
}

// engineOf returns the engine that runs a request, as its owner knows it.
func (c *cluster) engineOf(t testing.TB, request string) *process {
	t.Helper()
	var known debugapi.Request
	getJSON(t, "http://"+c.callers[owner(t, request)]+debugapi.RequestPath+request, &known)
	upstream := string(known.Attempts[len(known.Attempts)-1].Upstream)
	for _, p := range c.engine {
		if p.name == upstream {
			return p
		}
	}
	t.Fatalf("request %s runs on %q", request, upstream)
	return nil
}
