package debugserver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// options describe a control process that knows two instances and one upstream.
func options() Options {
	o := Options{
		Instance:    "a",
		Process:     debugapi.ProcessControl,
		Environment: "trial",
		Documents:   document.NewTable(),
		Instances:   instance.NewTable(),
		Upstreams:   upstream.NewTable(),
		Admit:       func(string) *model.Refusal { return nil },
		Log:         &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	}
	o.Documents.Apply(&model.Document{Generation: 7})
	for _, id := range []model.InstanceID{"a", "b", "c"} {
		o.Instances.Merge(model.Instance{ID: id, State: model.InstanceLive})
	}
	o.Upstreams.Configure([]model.Upstream{{ID: "u"}})
	return o
}

func get(t *testing.T, o Options, path string, status int, into any) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	NewHandler(o).ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	assert.Equal(t, w.Code, status, w.Body.String())
	assert.Assert(t, w.Header().Get(problem.HeaderRequestID) != "")
	if into != nil {
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), into))
	}
	return w
}

func ages(list []debugapi.Instance) map[model.InstanceID]any {
	found := map[model.InstanceID]any{}
	for _, in := range list {
		found[in.ID] = nil
		if in.Age != nil {
			found[in.ID] = *in.Age
		}
	}
	return found
}

// Guards against ages from the wrong source: a control process reports the time
// since it last heard of each instance, an entry process the time since the last
// contact with its control process.
func TestAges(t *testing.T) {
	control := options()
	control.InstanceAges = func(context.Context, time.Time) (map[model.InstanceID]time.Duration, error) {
		return map[model.InstanceID]time.Duration{"b": 2 * time.Second}, nil
	}
	var reply debugapi.Instances
	get(t, control, debugapi.InstancesPath, http.StatusOK, &reply)
	assert.DeepEqual(t, ages(reply.Instances), map[model.InstanceID]any{"a": 0.0, "b": 2.0, "c": nil})
	assert.Equal(t, reply.Viewer.Generation, uint64(7))
	assert.Assert(t, reply.Viewer.ViewAge == nil)

	entry := options()
	entry.ViewAge = func(time.Time) (time.Duration, bool) { return 4 * time.Second, true }
	reply = debugapi.Instances{}
	get(t, entry, debugapi.InstancesPath, http.StatusOK, &reply)
	assert.DeepEqual(t, ages(reply.Instances), map[model.InstanceID]any{"a": 0.0, "b": 4.0, "c": 4.0})
}

// Guards against a list without ages from a process that is too busy to read
// them: it must refuse the request.
func TestBusyProcessRefuses(t *testing.T) {
	o := options()
	o.InstanceAges = func(context.Context, time.Time) (map[model.InstanceID]time.Duration, error) {
		return nil, errors.New("too late")
	}
	w := get(t, o, debugapi.InstancesPath, http.StatusTooManyRequests, nil)
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
}

// Guards against an upstream whose health is shown without the age of the
// report, or with one although nothing was reported.
func TestUpstreams(t *testing.T) {
	o := options()
	var reply debugapi.Upstreams
	get(t, o, debugapi.UpstreamsPath, http.StatusOK, &reply)
	assert.Equal(t, len(reply.Upstreams), 1)
	assert.Assert(t, reply.Upstreams[0].Age == nil)
	assert.Equal(t, reply.Upstreams[0].Health, upstream.HealthUnknown)
	o.Upstreams.Apply(upstream.Report{Upstream: "u", Incarnation: 1, Sequence: 1, Health: upstream.HealthDown, At: time.Now().Add(-time.Minute)})
	get(t, o, debugapi.UpstreamsPath, http.StatusOK, &reply)
	assert.Assert(t, *reply.Upstreams[0].Age >= 60 && !reply.Upstreams[0].Usable)
}

// Guards against refusals that do not distinguish a request without a record
// from a path that the process does not serve.
func TestExplain(t *testing.T) {
	o := options()
	code := func(path string) string {
		w := get(t, o, path, http.StatusNotFound, nil)
		_, refusal, err := problem.Decode(nil, w.Body.Bytes())
		assert.NilError(t, err)
		assert.Equal(t, refusal.Outcome, model.OutcomeNotRun)
		return refusal.Code
	}
	assert.Equal(t, code(debugapi.RequestPath+"a-x"), problem.CodeUnknownRoute)
	o.Explain = func(id model.RequestID) (generation.Record, bool) {
		return generation.Record{Spec: model.GenerationSpec{Request: id}}, id == "a-x"
	}
	o.ExplainCall = func(id model.RequestID) (call.Record, bool) {
		return call.Record{Request: id, Service: "desk", Attempts: []call.AttemptRecord{{Upstream: "u", Result: "2xx"}}}, id == "a-z"
	}
	assert.Equal(t, code(debugapi.RequestPath+"a-y"), problem.CodeUnknownRequest)
	assert.Equal(t, code(debugapi.Prefix+"absent"), problem.CodeUnknownRoute)
	var reply debugapi.Request
	get(t, o, debugapi.RequestPath+"a-x", http.StatusOK, &reply)
	assert.Equal(t, reply.Request, model.RequestID("a-x"))
	get(t, o, debugapi.RequestPath+"a-z", http.StatusOK, &reply)
	assert.Equal(t, reply.Service, "desk")
	assert.Equal(t, reply.State, "running")
	assert.Equal(t, reply.Attempts[0].Result, "2xx")
}
