package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/view"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/openai"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/settings"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer/devcert"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/ports"
)

const (
	testModel   = "writer"
	testService = "desk"
	waitLimit   = 10 * time.Second
)

// spans receives the spans of all instances of the test process.
var spans = tracetest.NewInMemoryExporter()

func TestMain(m *testing.M) {
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)))
	os.Exit(m.Run())
}

// member is one entry process, run in the test's process without a control
// process.
type member struct {
	*entry
	address string // of the callers' server
	record  model.Instance
}

// startMembers starts entry processes whose tables list each other and the
// upstreams.
func startMembers(t *testing.T, count int, platform string, upstreams ...model.Upstream) []*member {
	t.Helper()
	dir := t.TempDir()
	authority, err := devcert.New(dir)
	assert.NilError(t, err)
	var members []*member
	for i := range count {
		members = append(members, startMember(t, authority, i, platform))
	}
	first := view.View{Document: testDocument(upstreams)}
	for _, m := range members {
		first.Instances = append(first.Instances, m.record)
	}
	for _, u := range upstreams {
		first.Upstreams = append(first.Upstreams, upstream.Report{Upstream: u.ID, Incarnation: 1, Sequence: 1, Health: upstream.HealthUp})
	}
	for _, m := range members {
		m.applyView(first)
		eventually(t, "instance is ready", func() bool { return m.tables.documents.Current() != nil })
		eventually(t, "callers' server listens", func() bool {
			resp, err := http.Get("http://" + m.address + "/healthz")
			if err != nil {
				return false
			}
			return resp.Body.Close() == nil
		})
	}
	return members
}

func startMember(t *testing.T, authority *devcert.Authority, i int, platform string) *member {
	t.Helper()
	s := settings.DefaultEntryd()
	s.Instance = model.InstanceID(fmt.Sprintf("i%d", i))
	s.Region, s.FailureDomain = "local", model.FailureDomain(fmt.Sprintf("d%d", i))
	s.Platform = platform
	s.PeerListen = "127.0.0.1:0"
	s.Listen = freeAddress(t)
	files, err := authority.Issue(string(s.Instance))
	assert.NilError(t, err)
	s.TLS = settings.TLS{Cert: files.Cert, Key: files.Key, CA: files.CA}
	e, err := newEntry(s, http.NotFoundHandler(), log.Log)
	assert.NilError(t, err)
	e.cancel = func() {}
	m := &member{entry: e, address: s.Listen, record: model.Instance{
		ID: s.Instance, Incarnation: 1, Region: s.Region, FailureDomain: s.FailureDomain,
		CallerAddress: s.Listen, EntryAddress: e.server.Address(), State: model.InstanceLive,
	}}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = e.callers.Start(context.Background()) // a test whose callers' server fails to start fails on its own
	}()
	t.Cleanup(func() {
		_ = e.callers.Stop(context.Background())
		<-served
		e.stop()
	})
	return m
}

// crash closes the peer server and the worker pool of an instance, and marks the
// instance as dead in the tables of the others.
func (m *member) crash(others ...*member) {
	_ = m.server.Close()
	m.pool.Close()
	dead := m.record
	dead.State = model.InstanceDead
	for _, o := range others {
		o.tables.instances.Merge(dead)
	}
}

func testDocument(upstreams []model.Upstream) *model.Document {
	return &model.Document{
		Generation: 1,
		Models:     []model.Model{{Name: testModel, Plan: model.VersionPlan{Target: "v1"}}},
		Services: []model.Service{{Name: testService, Plan: model.VersionPlan{Target: "v1"}, Routes: []model.Route{
			{Method: http.MethodPost, Path: "/bookings", Timeout: 2 * time.Second},
			{Method: http.MethodGet, Path: "/records", Idempotent: true, Timeout: 2 * time.Second},
		}}},
		Upstreams: upstreams,
	}
}

// startUpstream serves an upstream on a loopback address.
func startUpstream(t *testing.T, id string, kind model.UpstreamKind, serves string, handler http.Handler) model.Upstream {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	return model.Upstream{
		ID: model.UpstreamID(id), Kind: kind, Address: strings.TrimPrefix(server.URL, "http://"),
		Region: "local", FailureDomain: "d0", Serves: serves, Version: "v1",
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	port, err := ports.Free()
	assert.NilError(t, err)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", waitLimit, what)
}

// post makes a request with header fields given as name, value pairs.
func post(ctx context.Context, t *testing.T, url, body string, header ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// readEvents reads a stream to its end, or until step returns false, and
// returns the ID of its last event. step gets the request ID and the number of
// events so far.
func readEvents(t *testing.T, resp *http.Response, step func(id model.RequestID, events int) bool) (last string) {
	t.Helper()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	id := model.RequestID(resp.Header.Get(problem.HeaderRequestID))
	events := 0
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil || event.Data == openai.EndOfStream {
			return last
		}
		if event.LastEventID != "" {
			last = event.LastEventID
		}
		events++
		if !step(id, events) {
			return last
		}
	}
	return last
}

func readAll(model.RequestID, int) bool { return true }
