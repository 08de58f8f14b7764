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

// plan describes a cluster: the processes that run besides the platform, and
// their settings.
type plan struct {
	instances      int
	engines        int
	services       int
	engineFlags    []string
	bodyBytes      int  // request body limit in bytes; zero means the default
	defaultPolls   bool // keep the default poll intervals; tests use shorter ones otherwise
	adapterEngines int  // number of engines, from the first on, for which the document names adapterName
	// secureDebug gives each process a debug address with TLS and a credential.
	secureDebug bool
}

// cluster is a local deployment with its processes and their addresses.
type cluster struct {
	plan
	dir          string
	platform     string     // URL
	engine       []*process // by number, as are entry and control
	entry        []*process
	control      []*process
	other        []*process // the platform and the services
	engines      []string   // addresses; plan.engines is their number
	services     []string   // addresses; plan.services is their number
	callerAddrs  []string   // addresses for callers of the entry processes
	debugAddrs   []string   // debug addresses of the entry processes, then of the control processes
	metricsAddrs []string   // metrics addresses of the control processes
}

// startCluster starts a cluster and stops it at the end of the test.
func startCluster(t *testing.T, p plan) *cluster {
	t.Helper()
	count := int64(1 + p.engines + p.services + 2*p.instances)
	assert.NilError(t, processBudget.Acquire(context.Background(), count))
	t.Cleanup(func() { processBudget.Release(count) })
	var err error
	for range 3 { // retry, because another process can take a port between its choice and its use
		c := &cluster{plan: p, dir: t.TempDir()}
		t.Cleanup(c.stop)
		started := time.Now()
		if err = c.run(t); err == nil {
			t.Cleanup(func() { c.report(t) })
			return c
		}
		t.Logf("cluster did not start within %v: %v\n%s", time.Since(started).Round(time.Millisecond), err, c.startState())
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

// report logs the last log lines of the entry processes and engines of a failed
// test.
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
	if err := c.await(func() bool { return httpStatus(c.platform+"/stats") == http.StatusOK }); err != nil {
		return err
	}
	if err := c.promote(0); err != nil {
		return err
	}
	return c.await(c.converged)
}

// configure writes the settings files of the instances and prepares their
// processes.
func (c *cluster) configure(address func() string) error {
	authority, err := devcert.New(c.dir)
	if err != nil {
		return err
	}
	var controls []string
	for range c.instances {
		c.callerAddrs = append(c.callerAddrs, address())
		controls = append(controls, address())
		c.metricsAddrs = append(c.metricsAddrs, address())
	}
	for i := range c.instances {
		name, peer := fmt.Sprintf("i%d", i), address()
		if _, err := authority.Issue(name); err != nil {
			return err
		}
		common := fmt.Sprintf("instance: %s\nregion: local\nfailure_domain: d%d\nenvironment: production\nplatform: %s\n"+
			"peers: [%s]\ntls: {cert: \"%[5]s/%[1]s.pem\", key: \"%[5]s/%[1]s.key\", ca: \"%[5]s/ca.pem\"}\n",
			name, i, c.platform, quoted(controls), c.dir)
		entry := common + fmt.Sprintf("listen: %s\npeer_listen: %s\ncontrol: %s\ndrain: {margin: 0s}\n", c.callerAddrs[i], peer, controls[i])
		if c.bodyBytes > 0 {
			entry += fmt.Sprintf("limits: {body_bytes: %d}\n", c.bodyBytes)
		}
		guard := func() string {
			if !c.secureDebug {
				return ""
			}
			c.debugAddrs = append(c.debugAddrs, address())
			return fmt.Sprintf("metrics_listen: %s\ndebug: {credential_sha256: %s, tls: {cert: \"%[3]s/%[4]s.pem\", key: \"%[3]s/%[4]s.key\"}}\n",
				c.debugAddrs[len(c.debugAddrs)-1], operatorDigest, c.dir, name)
		}
		entry += guard()
		control := common + guard() + fmt.Sprintf("peer_listen: %s\nentry: %s\nentry_advertised: %s\n", controls[i], peer, c.callerAddrs[i])
		if !c.secureDebug {
			control += fmt.Sprintf("metrics_listen: %s\n", c.metricsAddrs[i])
		}
		if !c.defaultPolls {
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

// promote promotes a document with the cluster's upstreams, except the leaving
// ones, to trial and then to production. Seen is the generation that the document
// replaces.
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
		if i < c.adapterEngines { // a new lease holder waits 10 s before orders to engines that ignore fencing numbers
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
		out, err := exec.Command(filepath.Join(binDir, "svctl"), append([]string{"--platform", c.platform, "promote"}, args...)...).CombinedOutput()
		if err != nil {
			return fmt.Errorf("promote: %w: %s", err, out)
		}
	}
	return nil
}

// startState describes how far each instance of a cluster got that did not start, with
// the last log lines of its processes.
func (c *cluster) startState() string {
	var b strings.Builder
	fmt.Fprintf(&b, "platform: status %d\n", httpStatus(c.platform+"/stats"))
	for i, address := range c.callerAddrs {
		known, err := callerclient.New("", address).Endpoints(context.Background(), address)
		fmt.Fprintf(&b, "instance %d: readiness %d, %d endpoints, error %v\n", i, httpStatus("http://"+address+"/readyz"), len(known.Endpoints), err)
	}
	for _, address := range slices.Concat(c.callerAddrs, c.metricsAddrs) {
		fmt.Fprintf(&b, "instances at %s: %s\n", address, getText("http://"+address+debugapi.InstancesPath))
	}
	for _, p := range c.processes() {
		fmt.Fprintf(&b, "--- log of %s, running %v ---\n%s\n", p.name, p.running(), p.tail(12))
	}
	return b.String()
}

// converged reports whether each instance is ready and lists all instances as
// endpoints.
func (c *cluster) converged() bool {
	for i := range c.callerAddrs {
		known, err := callerclient.New("", c.callerAddrs[i]).Endpoints(context.Background(), c.callerAddrs[i])
		if err != nil || len(known.Endpoints) != c.instances || httpStatus("http://"+c.callerAddrs[i]+"/readyz") != http.StatusOK {
			return false
		}
	}
	return true
}

// await waits until the condition holds. It returns an error after startLimit or
// as soon as a process has ended.
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

// httpStatus returns the status code of a GET, or 0 if there is no answer.
func httpStatus(url string) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// getText returns the body of a GET, or the error.
func getText(url string) string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// setFaults sets the faults that a stand-in injects.
func setFaults(t testing.TB, address, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+strings.TrimPrefix(address, "http://")+"/faults", strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// executions returns the number of executions of each idempotency key, summed
// over all services.
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

// entryOf returns the entry process that runs a request at present.
func (c *cluster) entryOf(t testing.TB, request string) *process {
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

// explain returns the debug record that an instance has of a request, or the
// zero value if it has none.
func (c *cluster) explain(t testing.TB, instance int, request string) debugapi.Request {
	t.Helper()
	var known debugapi.Request
	if r := c.request(t, instance, http.MethodGet, debugapi.RequestPath+request, "", nil); r.status == http.StatusOK {
		assert.NilError(t, json.Unmarshal(r.body, &known))
	}
	return known
}

// engineOf returns the engine of the latest attempt in the debug record of the
// request's owner.
func (c *cluster) engineOf(t testing.TB, request string) *process {
	t.Helper()
	var known debugapi.Request
	getJSON(t, "http://"+c.callerAddrs[owner(t, request)]+debugapi.RequestPath+request, &known)
	upstream := string(known.Attempts[len(known.Attempts)-1].Upstream)
	for _, p := range c.engine {
		if p.name == upstream {
			return p
		}
	}
	t.Fatalf("request %s runs on %q", request, upstream)
	return nil
}
