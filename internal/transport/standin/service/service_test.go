package service_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/service"
)

func start(t *testing.T) (*service.Service, func(ctx context.Context, method, path, key string) (*http.Response, error)) {
	t.Helper()
	stub := service.New(service.Options{Name: "slots", Version: "v3", Routes: []service.Route{
		{Method: "POST", Path: "/book"},
		{Method: "GET", Path: "/record", Idempotent: true},
	}})
	server := httptest.NewServer(stub)
	t.Cleanup(func() {
		stub.Close()
		server.Close()
	})
	return stub, func(ctx context.Context, method, path, key string) (*http.Response, error) {
		request, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader("{}"))
		assert.NilError(t, err)
		request.GetBody = nil // keeps net/http from resending the call
		request.Header.Set(service.HeaderIdempotencyKey, key)
		return server.Client().Do(request)
	}
}

// Guards against a count that misses a call which was executed although its
// answer was cut: tests of at-most-once calls look for this case.
func TestExecutionsAreCountedByKey(t *testing.T) {
	stub, call := start(t)
	for _, test := range []struct {
		rule service.Rule
		runs int64
		ok   bool
	}{
		{service.Rule{}, 1, true},
		{service.Rule{CutAnswers: 1}, 2, false},
		{service.Rule{CutFraction: 1}, 3, false},
		{service.Rule{CutRequests: 1}, 3, false},
		{service.Rule{Hang: true}, 3, false},
		{service.Rule{AnswerDelayMS: 10_000}, 4, false},
		{service.Rule{DelayMS: 10_000}, 4, false},
		{service.Rule{}, 5, true},
	} {
		stub.SetFaults(service.Faults{Routes: []service.RouteFaults{{Method: "POST", Path: "/book", Rule: test.rule}}})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		response, err := call(ctx, "POST", "/book", "k1")
		assert.Equal(t, err == nil, test.ok, "%+v: %v", test.rule, err)
		assert.Equal(t, stub.Executions().ByKey["k1"], test.runs, "%+v", test.rule)
		if test.ok {
			var answer service.Answer
			assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
			assert.Equal(t, answer.Executions, test.runs)
			assert.Equal(t, response.Header.Get(engineapi.HeaderVersion), "v3")
		}
		cancel()
	}
}

// Guards against a fault of one route that also applies to another route.
func TestFaultsOfOneRoute(t *testing.T) {
	stub, call := start(t)
	stub.SetFaults(service.Faults{Routes: []service.RouteFaults{
		{Method: "POST", Path: "/book", Rule: service.Rule{FailFraction: 1}},
	}})
	response, err := call(t.Context(), "POST", "/book", "k")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
	response, err = call(t.Context(), "GET", "/record", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.DeepEqual(t, stub.Executions().ByRoute, map[string]int64{"GET /record": 1})
}

// Guards against a service that leaves without setting the leaving header.
func TestLeavingNotice(t *testing.T) {
	stub, call := start(t)
	stub.Leave(time.Minute)
	response, err := call(t.Context(), "GET", "/record", "")
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(engineapi.HeaderLeaving), "true")
	assert.Equal(t, stub.Executions().AfterLeave, int64(1))
}
