package e2e

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tlsfiles"
)

const (
	operatorSecret = "secret"
	operatorDigest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" // hex SHA-256 of operatorSecret
)

// Guards against a debug address that is served without the credential or the
// certificate of its settings, and against an operator who cannot see the
// instances and upstreams that a process knows or why a request was routed to its
// upstream.
func TestOperators(t *testing.T) {
	t.Parallel()
	c := startCluster(t, plan{instances: 1, engines: 1, secureDebug: true})
	secret := filepath.Join(c.dir, "secret")
	assert.NilError(t, os.WriteFile(secret, []byte(operatorSecret+"\n"), 0o600))
	svctl := func(args ...string) (string, error) {
		out, err := exec.Command(filepath.Join(binDir, "svctl"), append([]string{"--ca", filepath.Join(c.dir, "ca.pem")}, args...)...).CombinedOutput()
		return string(out), err
	}
	response := c.post(t, 0, "/v1/completions", fmt.Sprintf(streamBody, 5), nil)
	assert.Equal(t, response.status, http.StatusOK)
	for i, process := range []string{"entry", "control"} {
		daemon := "--daemon=https://" + c.debugAddrs[i]
		out, err := svctl("instances", daemon)
		assert.Assert(t, err != nil && strings.Contains(out, "credential_required"), out)
		out, err = svctl("--credential-file", secret, "instances", daemon)
		assert.NilError(t, err, out)
		assert.Assert(t, strings.Contains(out, "live") && strings.Contains(out, "as seen by the "+process+" process of i0"), out)
		err = c.await(func() bool { // the first probe comes up to 1 s after the document
			out, err = svctl("--credential-file", secret, "upstreams", "production", daemon)
			return err == nil && strings.Contains(out, "engine0") && strings.Contains(out, " up ")
		})
		assert.NilError(t, err, out)
	}
	request := response.header.Get("X-Request-ID")
	out, err := svctl("--credential-file", secret, "explain", request, "--entry", "https://"+c.debugAddrs[0])
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "earliest finish") && strings.Contains(out, "finished, 5 tokens"), out)
	testCallersOverTLS(t, c)
	// With a separate debug address, the callers' address serves neither debug
	// pages nor metrics.
	assert.Equal(t, c.request(t, 0, http.MethodGet, debugapi.InstancesPath, "", nil).status, http.StatusNotFound)
	assert.Equal(t, c.request(t, 0, http.MethodGet, "/metrics", "", nil).status, http.StatusNotFound)
}

// testCallersOverTLS starts a second entry process of the instance, whose
// address for callers has TLS.
func testCallersOverTLS(t *testing.T, c *cluster) {
	t.Helper()
	source, err := os.ReadFile(filepath.Join(c.dir, "entrydi0.yaml"))
	assert.NilError(t, err)
	address := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort(t)) }
	text := strings.Replace(string(source), "listen: "+c.callerAddrs[0], "listen: "+address(), 1)
	for _, key := range []string{"\npeer_listen: ", "\nmetrics_listen: "} {
		before, after, found := strings.Cut(text, key)
		assert.Assert(t, found, key)
		_, rest, _ := strings.Cut(after, "\n")
		text = before + key + address() + "\n" + rest
	}
	text += fmt.Sprintf("listen_tls: {cert: \"%[1]s/i0.pem\", key: \"%[1]s/i0.key\"}\n", c.dir)
	file := filepath.Join(c.dir, "tls.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	_, listen, _ := strings.Cut(text, "\nlisten: ")
	listen, _, _ = strings.Cut(listen, "\n")
	c.entry = append(c.entry, newProcess(c.dir, "entrytls", "entryd", file))
	assert.NilError(t, c.entry[1].start())
	roots, err := tlsfiles.Roots(filepath.Join(c.dir, "ca.pem"))
	assert.NilError(t, err)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	assert.NilError(t, c.await(func() bool {
		response, err := client.Get("https://" + listen + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}))
	assert.Equal(t, httpStatus("http://"+listen+"/readyz"), http.StatusBadRequest)
}
