package e2e

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
)

const (
	operatorSecret = "secret"
	operatorDigest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" // SHA-256 of it
)

// Guards against a debug address that is served without the credential or the
// certificate of its settings, and against an operator who cannot see what a
// process knows or why a request went where it went.
func TestOperators(t *testing.T) {
	t.Parallel()
	c := startCluster(t, plan{instances: 1, engines: 1, guarded: true})
	secret := filepath.Join(c.dir, "secret")
	assert.NilError(t, os.WriteFile(secret, []byte(operatorSecret+"\n"), 0o600))
	svctl := func(args ...string) (string, error) {
		out, err := exec.Command(filepath.Join(bin, "svctl"), append([]string{"--ca", filepath.Join(c.dir, "ca.pem")}, args...)...).CombinedOutput()
		return string(out), err
	}
	response := c.post(t, 0, "/v1/completions", fmt.Sprintf(streamBody, 5), nil)
	assert.Equal(t, response.status, http.StatusOK)
	for i, process := range []string{"entry", "control"} {
		daemon := "--daemon=https://" + c.debug[i]
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
	out, err := svctl("--credential-file", secret, "explain", request, "--entry", "https://"+c.debug[0])
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "earliest finish") && strings.Contains(out, "finished, 5 tokens"), out)
	// With a debug address of its own, the callers' address serves neither.
	assert.Equal(t, c.request(t, 0, http.MethodGet, debugapi.InstancesPath, "", nil).status, http.StatusNotFound)
	assert.Equal(t, c.request(t, 0, http.MethodGet, "/metrics", "", nil).status, http.StatusNotFound)
}
