package settings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func readTestdata(t testing.TB, name string) []byte {
	t.Helper()
	src, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	return src
}

// Guards against a default that is lost when a file sets another key of the same
// mapping.
func TestFileIsDecodedOverDefaults(t *testing.T) {
	s, err := LoadEntryd(filepath.Join("testdata", "entryd.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits.MaxStreams, 100)
	assert.Equal(t, s.Limits.BodyBytes, int64(4<<20))
	assert.Equal(t, s.Drain.Margin, 2*time.Second)
	assert.Equal(t, s.Advertised, "10.1.0.1:8080")
	assert.Equal(t, s.PeerAdvertised, "10.1.0.1:7001")
	assert.Equal(t, s.Limits.BodyTime, 30*time.Second)
	assert.Assert(t, !s.ListenTLS.Enabled() && !s.Debug.TLS.Enabled())
	c, err := LoadControld(filepath.Join("testdata", "controld.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, c.Polls.Document, time.Second)
	assert.Equal(t, c.Polls.Gossip, 500*time.Millisecond)
	assert.Equal(t, c.Log.Level, "debug")
}

// Guards against a report that stops at the first fault, lacks the line, or does
// not say what is allowed.
func TestAllFaultsAreReported(t *testing.T) {
	_, faults := ParseEntryd(readTestdata(t, "bad-entryd.yaml"))
	golden.Assert(t, faults.Error()+"\n", "bad-entryd.golden")
	_, faults = ParseControld(readTestdata(t, "bad-controld.yaml"))
	golden.Assert(t, faults.Error()+"\n", "bad-controld.golden")
}

// Guards against a daemon that starts with the defaults when its file is
// missing, empty or malformed.
func TestUnreadableFilesAreRefused(t *testing.T) {
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

// Guards against an address that serves plain HTTP because one of its two TLS files
// is missing, and against a credential digest that no credential matches.
func TestDebugAndTLSFaults(t *testing.T) {
	src := readTestdata(t, "entryd.yaml")
	for added, want := range map[string]string{
		"listen_tls: {cert: a.pem}":                  "listen_tls.key: line %d: is required because cert is set",
		"listen_tls: {key: a.key}":                   "listen_tls.cert: line %d: is required because key is set",
		"debug: {tls: {cert: a.pem}}":                "debug.tls.key: line %d: is required because cert is set",
		"debug: {credential_sha256: secret}":         "debug.credential_sha256: line %d: must be a SHA-256 in 64 lower-case hexadecimal digits, not \"secret\"",
		"debug: {tls: {cert: a, key: b, ca: c}}":     "debug.tls.ca: line %d: unknown key; allowed are cert, key",
		"listen_tls: {cert: a.pem, key: a.key}":      "",
		"debug: {tls: {cert: a.pem, key: a.key}}":    "",
		"debug: {credential_sha256: " + digest + "}": "",
	} {
		_, faults := ParseEntryd(append(bytes.Clone(src), "\n"+added...))
		if want == "" {
			assert.NilError(t, faults.Err(), added)
			continue
		}
		line := bytes.Count(src, []byte("\n")) + 2
		assert.Equal(t, faults.Error(), fmt.Sprintf(want, line), added)
	}
}

const digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

// Guards against sources that crash the parser, and against settings that are accepted
// without the values that the daemons rely on.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"entryd.yaml", "controld.yaml", "bad-entryd.yaml", "bad-controld.yaml"} {
		f.Add(readTestdata(f, name))
	}
	f.Add([]byte("instance: &a [*a]"))
	f.Add([]byte("a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]"))
	f.Add([]byte("peers: " + strings.Repeat("[", 2000)))
	f.Add([]byte("workers: 99999999999999999999999999\ntrace: {sample: 1e999}"))
	f.Add([]byte("limits: {body_time: 9999999h, body_bytes: 0x7fffffffffffffff}"))
	f.Add([]byte("? {a: b}\n: c"))
	f.Add([]byte("<<: {instance: a}"))
	f.Fuzz(func(t *testing.T, src []byte) {
		entry, faults := ParseEntryd(src)
		if (entry == nil) == (len(faults) == 0) {
			t.Fatalf("settings %v with faults %v", entry, faults)
		}
		if entry != nil {
			assert.Assert(t, entry.Advertised != "" && entry.PeerAdvertised != "" && entry.Limits.BodyTime > 0)
			assert.Equal(t, entry.ListenTLS.Cert == "", entry.ListenTLS.Key == "")
		}
		control, faults := ParseControld(src)
		if (control == nil) == (len(faults) == 0) {
			t.Fatalf("settings %v with faults %v", control, faults)
		}
		if control != nil {
			assert.Assert(t, control.Polls.Gossip > 0 && control.Weights.LoadsPerSecond > 0)
		}
	})
}
