package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/access"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/debugserver"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer/devcert"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tlsfiles"
)

// serveBodies starts a server that answers with fixed bodies by path.
func serveBodies(t *testing.T, bodies map[string]any) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := bodies[r.URL.Path]
		if !ok {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	return server
}

// Guards against a list without the states, the ages or the process whose view
// it shows, and against the list of one environment that is taken for that of
// another.
func TestListsFromDaemon(t *testing.T) {
	b := newHarness(t)
	b.config.Connect = nil // the platform must not be used
	at := time.Date(2026, 10, 1, 12, 0, 0, 0, time.UTC)
	viewer := debugapi.Viewer{Instance: "a-1", Process: debugapi.ProcessControl, Environment: "production", Generation: 4, At: at}
	inEntry := viewer
	inEntry.Process, inEntry.ViewAge = debugapi.ProcessEntry, debugapi.Seconds(12*time.Second)
	up := model.Upstream{ID: "engine-a1", Kind: model.KindEngine, Serves: "report-log", Version: "2.0", Address: "10.20.1.11:8000"}
	rows := []upstream.Row{
		{Upstream: up, Report: upstream.Report{Health: upstream.HealthUp, Running: 3, Waiting: 1, At: at.Add(-1500 * time.Millisecond)}, InFlight: 2},
		{Upstream: model.Upstream{ID: "engine-b1", Kind: model.KindEngine, Serves: "report-log", Version: "2.1", Address: "10.20.2.11:8000"},
			Report: upstream.Report{Health: upstream.HealthUnknown}, DownUntil: at.Add(time.Second), Failures: 2},
	}
	upstreams := debugapi.Upstreams{Viewer: inEntry}
	for _, row := range rows {
		upstreams.Upstreams = append(upstreams.Upstreams, debugapi.FromUpstream(row, at))
	}
	server := serveBodies(t, map[string]any{
		debugapi.InstancesPath: debugapi.Instances{Viewer: viewer, Instances: []debugapi.Instance{
			debugapi.FromInstance(model.Instance{ID: "a-1", State: model.InstanceLive, CallerAddress: "10.0.0.1:80"}, debugapi.Seconds(0)),
			debugapi.FromInstance(model.Instance{ID: "b-1", State: model.InstanceSuspected}, debugapi.Seconds(4321*time.Millisecond)),
			debugapi.FromInstance(model.Instance{ID: "c-1", State: model.InstanceLeaving}, nil),
		}},
		debugapi.UpstreamsPath: upstreams,
	})
	var all strings.Builder
	for _, step := range []struct {
		code int
		line string
	}{
		{ExitOK, "instances"},
		{ExitOK, "upstreams"},
		{ExitOK, "upstreams production --output json"},
		{ExitUsage, "upstreams trial"},
	} {
		out := b.run(step.code, step.line+" --daemon "+server.URL)
		all.WriteString("$ svctl " + step.line + " --daemon URL\n" + strings.ReplaceAll(out, server.URL, "URL"))
	}
	golden.Assert(t, all.String(), "daemon.golden")
	server.Close()
	assert.Assert(t, strings.Contains(b.run(ExitFailed, "instances --daemon "+server.URL), "does not answer"))
}

// Guards against an answer that is printed as a list although it is invalid.
func TestInvalidAnswersFail(t *testing.T) {
	b := newHarness(t)
	server := serveBodies(t, map[string]any{debugapi.InstancesPath: "text"})
	assert.Assert(t, strings.Contains(b.run(ExitFailed, "instances --daemon "+server.URL), "invalid JSON"))
	assert.Assert(t, strings.Contains(b.run(ExitFailed, "upstreams --daemon "+server.URL), "status 404"))
}

// Guards against a client that cannot reach a daemon which requires TLS and a
// credential, or that trusts any certificate.
func TestDaemonWithTLSAndCredential(t *testing.T) {
	b := newHarness(t)
	dir := t.TempDir()
	authority, err := devcert.New(dir)
	assert.NilError(t, err)
	files, err := authority.Issue("a-1")
	assert.NilError(t, err)
	config, err := tlsfiles.Server(files.Cert, files.Key)
	assert.NilError(t, err)
	documents, instances := document.NewTable(), instance.NewTable()
	instances.Merge(model.Instance{ID: "b-1", State: model.InstanceLive})
	operators := access.Operators{Documents: documents, CredentialSHA256: "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	handler := debugserver.NewHandler(debugserver.Options{
		Instance: "a-1", Process: debugapi.ProcessControl, Environment: trial, Documents: documents,
		Instances: instances, Upstreams: upstream.NewTable(), Admit: operators.Admit, Log: logger,
		InstanceAges: func(context.Context, time.Time) (map[model.InstanceID]time.Duration, error) {
			return map[model.InstanceID]time.Duration{"b-1": 2 * time.Second}, nil
		},
	})
	server, err := debugserver.Listen("127.0.0.1:0", config, handler, http.NotFoundHandler(), logger)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, server.Close()) })

	secret, wrong, empty := filepath.Join(dir, "secret"), filepath.Join(dir, "wrong"), filepath.Join(dir, "empty")
	for name, text := range map[string]string{secret: "secret\n", wrong: "other", empty: "\n"} {
		assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	}
	url := " --daemon https://" + server.Address()
	trusted := "--ca " + files.CA + " instances" + url
	assert.Assert(t, strings.Contains(b.run(ExitFailed, "instances"+url), "certificate"))
	assert.Assert(t, strings.Contains(b.run(ExitFailed, trusted), "credential_required"))
	assert.Assert(t, strings.Contains(b.run(ExitFailed, trusted+" --credential-file "+wrong), "credential_required"))
	assert.Assert(t, strings.Contains(b.run(ExitUsage, trusted+" --credential-file "+empty), "--credential-file must hold one line"))
	assert.Assert(t, strings.Contains(b.run(ExitUsage, "--ca "+secret+" instances"+url), "--ca must be a PEM file"))
	out := b.run(ExitOK, trusted+" --credential-file "+secret)
	assert.Assert(t, strings.Contains(out, "2s ago") && strings.Contains(out, "as seen by the control process of a-1 in trial"), out)
	assert.Assert(t, strings.Contains(b.run(ExitFailed, "--ca "+files.CA+" --credential-file "+secret+
		" explain "+requestID+" --entry https://"+server.Address()), "unknown_route: The control process serves no such path"))
}

// Guards against an answer that crashes the client or prints an age that
// overflowed.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(`{"viewer":{"process":"entry","view_age_seconds":1e308},"instances":[{"id":"a","age_seconds":-1}],"upstreams":[{"age_seconds":null}]}`))
	f.Add([]byte(`{"request":"a-1","attempts":[{"number":-1,"why":{"share":1e308,"expected_seconds":-1e308}}]}`))
	f.Add([]byte(`{"instances":null,"upstreams":[null],"attempts":[[[[`))
	f.Add([]byte(`"text"`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var out strings.Builder
		p := printer{out: &out}
		var instances debugapi.Instances
		if json.Unmarshal(body, &instances) == nil {
			assert.NilError(t, p.table(daemonInstances(instances)))
			for _, i := range instances.Instances {
				assert.Assert(t, !strings.HasPrefix(agoText(i.Age), "-"))
			}
		}
		var upstreams debugapi.Upstreams
		if json.Unmarshal(body, &upstreams) == nil {
			assert.NilError(t, p.table(daemonUpstreams(upstreams)))
		}
		var request debugapi.Request
		if json.Unmarshal(body, &request) == nil {
			assert.NilError(t, p.table(attemptsTable(request)))
		}
	})
}
