package ingress

import (
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

// Guards against requests that are accepted so late in a planned stop that they
// are aborted, and against a refusal whose outcome is not not_run.
func TestLateRequestsAreRefused(t *testing.T) {
	table := rules.NewTable()
	table.Apply(&model.RoutingRules{Revision: 1, Routes: []model.HostRoute{{Host: "h", Prefix: "/log/", Stream: true}, {Host: "h", Prefix: "/call/"}}})
	s := New(Options{Address: "127.0.0.1:0", Names: forwardwire.Names{Request: "X-Req"}, Rules: table, Log: &log.Logger{Handler: discard.Default}})
	refused := func(path string) bool {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(""))
		r.Host = "h"
		_, refusal := s.decode(httptest.NewRecorder(), r, time.Now())
		return refusal != nil && refusal.Code == problem.CodeLeaving && refusal.Outcome == model.OutcomeNotRun
	}
	assert.Assert(t, !refused("/log/1") && !refused("/call/1"))
	s.RefuseStreams()
	assert.Assert(t, refused("/log/1") && !refused("/call/1"))
	s.RefuseRequests()
	assert.Assert(t, refused("/log/1") && refused("/call/1"))
}
