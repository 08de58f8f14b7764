package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/engine"
)

const adapterName = "seals"

// Guards against engines that do not load the adapters that the document names
// for them, and against a generation with an adapter that is resumed without it.
func TestAdapterIsLoadedAndKept(t *testing.T) {
	t.Parallel()
	const tokens = 120
	c := startCluster(t, plan{instances: 2, engines: 3, adapterEngines: 2, engineFlags: []string{"--token-time", tokenTime, "--load-time", "200ms"}})
	assert.NilError(t, c.await(func() bool { return c.adapterLoaded(t, 0) && c.adapterLoaded(t, 1) }))
	assert.Assert(t, !c.adapterLoaded(t, 2))
	ctx, cancel := context.WithTimeout(t.Context(), streamLimit)
	defer cancel()
	body := strings.Replace(fmt.Sprintf(streamBody, tokens), "{", `{"adapter":"`+adapterName+`",`, 1)
	resp := c.open(t, ctx, 0, http.MethodPost, "/v1/completions", body, nil)
	assert.Assert(t, resp != nil)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	begun := readEvents(t, resp.Body, 20)
	c.engineOf(t, resp.Header.Get("X-Request-ID")).kill()
	got := begun.text() + readEvents(t, resp.Body, 0).text()
	var want strings.Builder
	for i := range tokens {
		want.WriteString(engine.Token(engine.AdaptedVersion(version, adapterName), prompt, seed, i))
	}
	assert.Equal(t, got, want.String())
	absent := strings.Replace(body, adapterName, "absent", 1)
	assert.Equal(t, c.post(t, 0, "/v1/completions", absent, nil).code(), "unknown_adapter")
}

// adapterLoaded reports whether an engine has loaded the adapter.
func (c *cluster) adapterLoaded(t testing.TB, i int) bool {
	t.Helper()
	var state engineapi.StateReply
	getJSON(t, "http://"+c.engines[i]+engineapi.StatePath, &state)
	return slices.Contains(state.Actual.Adapters, adapterName)
}
