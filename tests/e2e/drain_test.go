package e2e

import (
	"context"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerclient"
)

// Guards against a planned stop that cuts a stream, endpoint lists that still
// contain the draining instance, and an exit status other than 0.
func TestDrain(t *testing.T) {
	t.Parallel()
	c := startCluster(t, plan{instances: 2, engines: 1, engineFlags: []string{"--token-time", "40ms"}})
	const tokens = 400 // 16 s, longer than the 10 s for which endpoint lists are cached
	var leaving *process
	got := c.stream(t, prompt, tokens, 20, func(request string) {
		i := owner(t, request)
		leaving = c.entry[i]
		leaving.signal(syscall.SIGTERM)
		deadline := time.Now().Add(500 * time.Millisecond)
		client := callerclient.New("", c.callerAddrs[i])
		for {
			answer, err := client.Endpoints(context.Background(), c.callerAddrs[i])
			assert.NilError(t, err)
			if len(answer.Endpoints) == 1 && answer.Endpoints[0].Address != c.callerAddrs[i] {
				break
			}
			assert.Assert(t, time.Now().Before(deadline), "a draining instance names itself: %v", answer)
		}
		assert.Equal(t, httpStatus("http://"+c.callerAddrs[i]+"/readyz"), 503)
		assert.Equal(t, httpStatus("http://"+c.callerAddrs[i]+"/healthz"), 200)
	})
	checkComplete(t, got, prompt, tokens)
	assert.Equal(t, got.Reconnects, 0)
	assert.Equal(t, leaving.exitCode(t, 10*time.Second), 0)
	for i, p := range c.control { // the control process stops after its entry process
		p.signal(syscall.SIGTERM)
		if c.entry[i] == leaving {
			assert.Equal(t, p.exitCode(t, 10*time.Second), 0)
		}
	}
}
