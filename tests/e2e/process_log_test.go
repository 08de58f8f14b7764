package e2e

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against soak checks that match log lines from before a restart: a
// restarted process appends to the same log file.
func TestLoggedSinceStart(t *testing.T) {
	p := newProcess(t.TempDir(), "svctl", "svctl", "--help")
	assert.NilError(t, p.start())
	p.exitCode(t, soakDeadline)
	assert.Assert(t, p.loggedSinceStart("Show context-sensitive help"))
	p.args = []string{"no-such-command"}
	assert.NilError(t, p.start())
	p.exitCode(t, soakDeadline)
	assert.Assert(t, !p.loggedSinceStart("Show context-sensitive help"))
}
