package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"gotest.tools/v3/assert"
)

// Guards against requests that are accepted although they may last until the instance
// stops to wait for them and cuts them.
func TestRequestsThatMayOutlastTheStopAreRefused(t *testing.T) {
	table := rules.NewTable()
	table.Apply(&model.RoutingRules{Revision: 1, Routes: []model.HostRoute{{Host: "h", Prefix: "/short/", Timeout: time.Second}, {Host: "h", Prefix: "/open/"}}})
	s := New(Options{Address: "127.0.0.1:0", Names: forwardwire.Names{Request: "X-Req", TimeLeft: "X-Left"}, Rules: table, Log: &log.Logger{Handler: discard.Default}})
	now := time.Now()
	s.RefuseEndingAfter(now.Add(2 * time.Second))
	for _, c := range []struct {
		path, left string
		after      time.Duration
		refused    bool
	}{
		{"/short/1", "", 900 * time.Millisecond, false},
		{"/short/1", "", 1100 * time.Millisecond, true},
		{"/short/1", "500", 1100 * time.Millisecond, false},
		{"/open/1", "1900", 0, false},
		{"/open/1", "2100", 0, true},
		{"/open/1", "", 0, true},
	} {
		r := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(""))
		r.Host = "h"
		if c.left != "" {
			r.Header.Set("X-Left", c.left)
		}
		_, _, refusal := s.decode(httptest.NewRecorder(), r, now.Add(c.after))
		assert.Equal(t, refusal != nil && refusal.Code == problem.CodeLeaving, c.refused, "%+v", c)
	}
}

// Guards against requests that are accepted so late in a planned stop that they
// are aborted, and against a refusal whose outcome is not not_run.
func TestLateRequestsAreRefused(t *testing.T) {
	table := rules.NewTable()
	table.Apply(&model.RoutingRules{Revision: 1, Routes: []model.HostRoute{{Host: "h", Prefix: "/log/", Stream: true}, {Host: "h", Prefix: "/call/"}}})
	s := New(Options{Address: "127.0.0.1:0", Names: forwardwire.Names{Request: "X-Req"}, Rules: table, Log: &log.Logger{Handler: discard.Default}})
	refused := func(path string) bool {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(""))
		r.Host = "h"
		_, _, refusal := s.decode(httptest.NewRecorder(), r, time.Now())
		return refusal != nil && refusal.Code == problem.CodeLeaving && refusal.Outcome == model.OutcomeNotRun
	}
	assert.Assert(t, !refused("/log/1") && !refused("/call/1"))
	s.RefuseStreams()
	assert.Assert(t, refused("/log/1") && !refused("/call/1"))
	s.RefuseRequests()
	assert.Assert(t, refused("/log/1") && refused("/call/1"))
}

// Guards against an answer to "OPTIONS *" that no upstream gave: net/http answers it with
// status 200 unless it is told otherwise.
func TestAsteriskTargetIsRefused(t *testing.T) {
	s := New(Options{Address: "127.0.0.1:0", Names: forwardwire.Names{Request: "X-Req"}, Rules: rules.NewTable(), Log: &log.Logger{Handler: discard.Default}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = s.http.Close() }()
	go func() { _ = s.http.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: h\r\nX-Req: r1\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}
