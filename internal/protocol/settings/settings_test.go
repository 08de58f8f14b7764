package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func read(t *testing.T, name string) []byte {
	t.Helper()
	src, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	return src
}

// Guards against a default that is lost when a file sets a neighbour of it.
func TestFileIsDecodedOverDefaults(t *testing.T) {
	s, err := LoadEntryd(filepath.Join("testdata", "entryd.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits.MaxStreams, 100)
	assert.Equal(t, s.Limits.BodyBytes, int64(4<<20))
	assert.Equal(t, s.Drain.Margin, 2*time.Second)
	assert.Equal(t, s.Advertised, "10.1.0.1:8080")
	assert.Equal(t, s.PeerAdvertised, "10.1.0.1:7001")
	c, err := LoadControld(filepath.Join("testdata", "controld.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, c.Polls.Document, time.Second)
	assert.Equal(t, c.Polls.Gossip, 500*time.Millisecond)
	assert.Equal(t, c.Log.Level, "debug")
}

// Guards against a report that stops at the first fault, has no line or does
// not say what is allowed.
func TestAllFaultsAreReported(t *testing.T) {
	_, faults := ParseEntryd(read(t, "bad-entryd.yaml"))
	golden.Assert(t, faults.Error()+"\n", "bad-entryd.golden")
	_, faults = ParseControld(read(t, "bad-controld.yaml"))
	golden.Assert(t, faults.Error()+"\n", "bad-controld.golden")
}

// Guards against a daemon that starts with the defaults when its file is
// missing, empty or malformed.
func TestUnreadableFiles(t *testing.T) {
	_, err := LoadEntryd("testdata/none.yaml")
	assert.ErrorContains(t, err, "testdata/none.yaml")
	for src, want := range map[string]string{
		"":            "the file is empty",
		"instance: [": "line 1",
		"a: 1\n---\n": "more than one YAML document",
		"- a":         "must be a mapping",
	} {
		_, faults := ParseEntryd([]byte(src))
		assert.ErrorContains(t, faults.Err(), want)
	}
}
