package e2e

import (
	"context"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerclient"
)

// Guards against a planned stop that cuts a stream, answers that name a
// draining instance, and an exit status other than 0.
func TestDrain(t *testing.T) {
	t.Parallel()
	c := startCluster(t, plan{instances: 2, engines: 1, engineFlags: []string{"--token-time", "40ms"}})
	const tokens = 400 // 16 s, longer than the 10 s for which answers are cached
	var leaving *process
	got := c.stream(t, prompt, tokens, 20, func(request string) {
		i := owner(t, request)
		leaving = c.entry[i]
		leaving.signal(syscall.SIGTERM)
		deadline := time.Now().Add(500 * time.Millisecond)
		client := callerclient.New("", c.callers[i])
		for {
			answer, err := client.Endpoints(context.Background(), c.callers[i])
			assert.NilError(t, err)
			if len(answer.Endpoints) == 1 && answer.Endpoints[0].Address != c.callers[i] {
				break
			}
			assert.Assert(t, time.Now().Before(deadline), "a draining instance names itself: %v", answer)
		}
		assert.Equal(t, status("http://"+c.callers[i]+"/readyz"), 503)
		assert.Equal(t, status("http://"+c.callers[i]+"/healthz"), 200)
	})
	checkWhole(t, got, prompt, tokens)
	assert.Equal(t, got.Reconnects, 0)
	assert.Equal(t, leaving.exitCode(t, 10*time.Second), 0)
	for i, p := range c.control { // the control process follows its entry process
		p.signal(syscall.SIGTERM)
		if c.entry[i] == leaving {
			assert.Equal(t, p.exitCode(t, 10*time.Second), 0)
		}
	}
}
