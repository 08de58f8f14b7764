package forward

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// callsByVersion submits n calls to service "desk" while its version move has the given
// state. It returns the number of calls that each version got.
func callsByVersion(b *harness, n int, m model.VersionMove) map[string]int {
	m.VersionOrder = model.VersionOrder{Service: "desk", Target: "v2", Revision: 7}
	b.moves.Apply(m, time.Now())
	got := map[string]int{}
	for range n {
		before := len(b.sent())
		reply, _ := b.submit("/read/1")
		if len(b.sent()) == before {
			got["none"]++
			continue
		}
		got[b.lastSend().Upstream.Version]++
		b.lastSend().Answered(Answer{Status: 200})
		b.advance(0)
		assert.Assert(b.t, reply.answer != nil)
	}
	return got
}

// assignVersions gives the upstreams of failure domain b version v2 and the others v1.
func (b *harness) assignVersions() {
	var all []model.Upstream
	for _, row := range b.upstreams.Serving("") {
		up := row.Upstream
		up.Version = "v1"
		if up.FailureDomain == "b" {
			up.Version = "v2"
		}
		all = append(all, up)
	}
	b.upstreams.Configure(all)
}

// Guards against a version that gets more than its share of the traffic, or any
// traffic before its move begins or after the move was rolled back.
func TestRequestsKeepToTheShareOfAVersion(t *testing.T) {
	tests := []struct {
		name     string
		move     model.VersionMove
		from, to int // range of calls that go to the target version, of 200
	}{
		{"ordered", model.VersionMove{State: model.MoveOpen}, 0, 0},
		{"a tenth", model.VersionMove{State: model.MoveOpen, Share: 0.1}, 8, 34},
		{"all", model.VersionMove{State: model.MoveOpen, Share: 1}, 200, 200},
		{"taken back", model.VersionMove{State: model.MoveTakenBack}, 0, 0},
		{"finished", model.VersionMove{State: model.MoveFinished, Share: 1}, 200, 200},
	}
	for _, test := range tests {
		withHarness(t, func(b *harness) {
			b.assignVersions()
			got := callsByVersion(b, 200, test.move)
			assert.Assert(t, got["v2"] >= test.from && got["v2"] <= test.to, "%s: %v", test.name, got)
			assert.Equal(t, got["v1"]+got["v2"], 200, test.name)
		})
	}
}

// Guards against outcomes of one version that are counted for the other.
func TestOutcomesCountForTheirVersion(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.assignVersions()
		b.moves.Apply(model.VersionMove{VersionOrder: model.VersionOrder{Service: "desk", Target: "v2", Revision: 7}, State: model.MoveOpen, Share: 1}, time.Now())
		b.submit("/book/1")
		b.lastSend().Answered(Answer{Status: 500})
		b.advance(0)
		counts := b.moves.Totals("desk")["book"]
		assert.Equal(t, counts.New.Requests, uint64(1))
		assert.Equal(t, counts.New.Failures, uint64(1))
		assert.Equal(t, counts.Old.Requests, uint64(0))
	})
}
