package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	state "github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	archive   = "../../../examples/archive-workshop.yaml"
	permits   = "../../../examples/permit-office.yaml"
	requestID = "north-a-1-abcdefghijklmnopqrstuvwx23"
)

// fakeRows keeps rows in memory. Each method returns err if it is set.
type fakeRows[T any] struct {
	rows map[string]T
	err  error
}

func (f *fakeRows[T]) Get(_ context.Context, key string) (store.Row[T], error) {
	value, ok := f.rows[key]
	if f.err == nil && !ok {
		return store.Row[T]{}, store.ErrNotFound
	}
	return store.Row[T]{Key: key, Value: value, Revision: "r"}, f.err
}

func (f *fakeRows[T]) Put(_ context.Context, key string, value T, expected store.Revision) (store.Revision, error) {
	if _, ok := f.rows[key]; ok != (expected == "r") {
		return "", store.ErrConflict
	}
	f.rows[key] = value
	return "r", f.err
}

func (f *fakeRows[T]) List(_ context.Context, prefix string) ([]store.Row[T], error) {
	var list []store.Row[T]
	for key, value := range f.rows {
		if strings.HasPrefix(key, prefix) {
			list = append(list, store.Row[T]{Key: key, Value: value})
		}
	}
	return list, f.err
}

type fakeObjects map[string][]byte

func (f fakeObjects) GetObject(_ context.Context, key string) ([]byte, error) { return f[key], nil }

func (f fakeObjects) PutObject(_ context.Context, key string, body []byte) error {
	f[key] = body
	return nil
}

// harness runs command lines against one platform in memory.
type harness struct {
	t      *testing.T
	heads  *fakeRows[environment.Head]
	moves  *fakeRows[rollout.Move]
	stdout bytes.Buffer
	stderr bytes.Buffer
	config Config
}

func newHarness(t *testing.T) *harness {
	t.Setenv("USER", "ann")
	t.Setenv("SVCTL_PLATFORM", "http://127.0.0.1:1")
	now := time.Date(2026, 10, 1, 12, 0, 0, 0, time.UTC)
	b := &harness{t: t, heads: &fakeRows[environment.Head]{rows: map[string]environment.Head{}}, moves: &fakeRows[rollout.Move]{rows: map[string]rollout.Move{}}}
	b.moves.rows["moves/production/report-log/4"] = rollout.Move{
		Serves: "report-log", Plan: model.VersionPlan{Target: "2.1", Previous: "2.0", FinishBy: now}, State: rollout.Moving,
		Share: 0.25, ShareSince: now, Figures: rollout.Figures{Requests: 420, Failures: 3},
	}
	b.moves.rows["moves/production/report-log/3"] = rollout.Move{
		Serves: "report-log", Plan: model.VersionPlan{Target: "2.0"}, State: rollout.Finished, Share: 1, Reason: "in time",
		Ended: now.Add(-time.Hour),
	}
	platform := &Platform{Heads: b.heads, Moves: b.moves, Objects: fakeObjects{}}
	platform.Instances = func(context.Context) ([]model.Instance, error) {
		return []model.Instance{{ID: "b-1", State: model.InstanceLeaving}, {ID: "a-1", State: model.InstanceLive, CallerAddress: "10.0.0.1:80"}}, nil
	}
	b.config = Config{
		Stdout: &b.stdout, Stderr: &b.stderr, Now: func() time.Time { return now },
		Connect: func(string) (*Platform, error) { return platform, nil },
	}
	return b
}

// run executes one command line and returns what it printed.
func (b *harness) run(want int, line string) string {
	b.t.Helper()
	b.stdout.Reset()
	b.stderr.Reset()
	code := Run(context.Background(), strings.Fields(line), b.config)
	assert.Equal(b.t, code, want, "%s: %s", line, b.stderr.String())
	return b.stdout.String() + b.stderr.String()
}

// Guards against output that changes unnoticed, and against a promotion that
// overwrites the document of another operator.
func TestCommands(t *testing.T) {
	b := newHarness(t)
	var all strings.Builder
	for _, step := range []struct {
		code int
		line string
	}{
		{ExitOK, "check " + archive},
		{ExitUsage, "show trial"},
		{ExitOK, "promote --to trial --seen 0 --change-id c1 --file " + archive},
		{ExitOK, "promote --to trial --seen 0 --change-id c1 --file " + archive},
		{ExitConflict, "promote --to trial --seen 0 --change-id c2 --file " + permits},
		{ExitOK, "promote --to production --seen 0 --change-id c3 --from trial"},
		{ExitOK, "diff production " + archive},
		{ExitOK, "show production"},
		{ExitOK, "upstreams"},
		{ExitOK, "moves production"},
		{ExitOK, "instances"},
		{ExitOK, "instances --output json"},
	} {
		all.WriteString("$ svctl " + step.line + "\n" + b.run(step.code, step.line))
	}
	golden.Assert(t, all.String(), "commands.golden")
	source, err := os.ReadFile(archive)
	assert.NilError(t, err)
	assert.Equal(t, b.run(ExitOK, "show production --source"), string(source))
	for _, line := range []string{"show trial", "moves trial", "upstreams trial", "diff trial " + permits, "check " + permits} {
		assert.Assert(t, json.Valid([]byte(b.run(ExitOK, line+" --output json"))), line)
	}
}

// Guards against an exit code for an outage that scripts take for a conflict or a
// success.
func TestUnavailablePlatform(t *testing.T) {
	b := newHarness(t)
	b.heads.err, b.moves.err = store.ErrUnavailable, store.ErrUnavailable
	b.run(ExitUnavailable, "show trial")
	b.run(ExitUnavailable, "moves trial")
	b.run(ExitUnavailable, "promote --to trial --seen 0 --file "+archive)
	b.heads.err = store.ErrUnknownOutcome
	b.run(ExitUnavailable, "promote --to trial --seen 0 --timeout 1s --file "+archive)
	b.config.Connect = nil
	b.run(ExitFailed, "show trial")
}

// Guards against wrong input that is carried out in part, or whose message
// does not name the field, the value and what is allowed.
func TestWrongInput(t *testing.T) {
	b := newHarness(t)
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	assert.NilError(t, os.WriteFile(bad, []byte("models: []\ncolour: red\n"), 0o600))
	var all strings.Builder
	for _, line := range []string{
		"", "bogus", "show", "show staging", "--output xml instances", "check no-such-file", "--timeout 0s instances",
		"promote --to trial --seen 1", "promote --to trial --seen 1 --from trial --file x",
		"promote --to trial --seen 1 --from production", "promote --to trial --seen 1 --from trial",
		"promote --to production --seen 1 --file x", "promote --to staging --seen 1 --file x",
		"show trial production", "diff trial", "check", "explain --entry http://127.0.0.1:1", "--timeout soon instances",
		"instances --daemon 10.0.0.1:9090", "upstreams staging --daemon http://10.0.0.1:9090", "upstreams --daemon ftp://10.0.0.1",
		"--ca no-such-file instances --daemon http://127.0.0.1:1",
		"--credential-file no-such-file instances --daemon http://127.0.0.1:1",
		"promote --to trial --file x --seen", "promote --to trial --file no-such-file --seen 0",
		"promote --to trial --file x", "promote --to trial --seen -1 --file x", "promote --to trial --seen one --file x",
		"--platform 10.0.0.1 instances", "explain x --entry http://127.0.0.1:1", "explain " + requestID + " --entry x",
	} {
		all.WriteString("$ svctl " + line + "\n" + b.run(ExitUsage, line))
	}
	golden.Assert(t, all.String(), "wrong-input.golden")
	for _, line := range []string{"check ", "diff trial ", "promote --to trial --seen 0 --file "} {
		out := b.run(ExitUsage, line+bad)
		assert.Assert(t, strings.Contains(out, "colour: line 2: unknown key") && strings.Contains(out, "no model and no service"), out)
	}
	assert.Equal(t, len(b.heads.rows), 0)
	assert.Assert(t, strings.Contains(b.run(ExitOK, "promote --help"), "Examples:"))
}

// Guards against an explanation that hides why a request is not found.
func TestExplain(t *testing.T) {
	b := newHarness(t)
	called := strings.Replace(requestID, "23", "25", 1)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == debugapi.RequestPath+called {
			_ = json.NewEncoder(w).Encode(debugapi.Request{
				Request: model.RequestID(called), Service: "workshop", Route: "POST /bookings", State: "outcome_unknown", Attempts: []debugapi.Attempt{
					{Number: 1, Upstream: "desk-a", Version: "7", Started: time.Date(2026, 10, 1, 12, 0, 0, 0, time.UTC), Result: "lost"},
				},
			})
			return
		}
		if r.URL.Path != debugapi.RequestPath+requestID {
			_ = problem.Write(w, "", &model.Refusal{Code: problem.CodeUnknownRequest, Message: "no record", Outcome: model.OutcomeUnknown})
			return
		}
		started := time.Date(2026, 10, 1, 12, 0, 0, 0, time.UTC)
		_ = json.NewEncoder(w).Encode(debugapi.Request{
			Request: requestID, Model: "report-log", Version: "2.0", Tokens: 42, State: "running", Attempts: []debugapi.Attempt{
				{
					Number: 1, Upstream: "engine-a1", Version: "2.0", Started: started, Tokens: 40, Loss: "reset",
					Why: debugapi.Why{Version: state.VersionPrevious, Share: 0.25, Upstream: state.UpstreamEarliest, Expected: 0.21},
				},
				{
					Number: 2, Upstream: "engine-b1", Version: "2.0", Started: started.Add(time.Second), Tokens: 2,
					Why: debugapi.Why{Version: state.VersionOfLine, Upstream: state.UpstreamNoOther, Expected: 1.5},
				},
			},
		})
	}))
	defer entry.Close()
	golden.Assert(t, b.run(ExitOK, "explain "+requestID+" --entry "+entry.URL), "explain.golden")
	golden.Assert(t, b.run(ExitOK, "explain "+called+" --entry "+entry.URL), "explain-call.golden")
	other := strings.Replace(requestID, "23", "24", 1)
	assert.Assert(t, strings.Contains(b.run(ExitFailed, "explain "+other+" --entry "+entry.URL), "unknown_request: no record"))
	entry.Close()
	b.run(ExitFailed, "explain "+requestID+" --entry "+entry.URL)
}
