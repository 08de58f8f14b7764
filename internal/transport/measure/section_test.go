package measure

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a section that fails or has no figures. The slow sections have
// separate tests.
func TestQuickSections(t *testing.T) {
	rows, err := Run(context.Background(), Config{Seed: 1}, []string{"document", "log", "evidence", "relay"})
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, Print(&out, rows))
	for _, want := range []string{"3500 upstreams", "64 tokens of 7 bytes", "14080 rows of one minute", "not run: needs a running deployment"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is not in:\n%s", want, out.String())
	}
	_, err = Run(context.Background(), Config{}, []string{"relays"})
	assert.ErrorContains(t, err, `section "relays" does not exist`)
}

// Guards against pauses that are reported although the process ran.
func TestWatchPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := watchPauses()
		time.Sleep(time.Second)
		assert.Equal(t, stop(), time.Duration(0))
	})
}

// Guards against mixing up the slope and the fixed part.
func TestLine(t *testing.T) {
	slope, fixed := fitLine([]point{{10, 25}, {20, 45}, {40, 85}})
	assert.Assert(t, slope > 1.999 && slope < 2.001, "slope %v", slope)
	assert.Assert(t, fixed > 4.99 && fixed < 5.01, "fixed part %v", fixed)
	slope, fixed = fitLine([]point{{10, 25}})
	assert.Equal(t, slope, 0.0)
	assert.Equal(t, fixed, 25.0)
}

// Guards against reading the wrong fields when the command name contains spaces or
// brackets.
func TestParseStat(t *testing.T) {
	cpu, err := parseStat("7 (a) b) S 1 7 7 0 -1 4194560 100 0 0 0 150 50 0 0 20 0 9 0 100 1000 200")
	assert.NilError(t, err)
	assert.Equal(t, cpu, 2*time.Second)
	_, err = parseStat("7 (a) S 1")
	assert.ErrorContains(t, err, "stat has 2 fields")
	own, err := readUsage(os.Getpid())
	assert.NilError(t, err)
	assert.Assert(t, own.resident > 1e6 && own.cpu >= 0)
}
