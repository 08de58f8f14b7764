package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// Guards against streams and copies that are sent to the remaining upstreams of a
// failure domain that has just failed, one after the other.
func TestLostFailureDomainIsAvoided(t *testing.T) {
	withHarness(t, func(b *harness) {
		now := time.Now()
		b.upstreams.RecordFailure("engine-a0", now, now)
		b.upstreams.RecordFailure("engine-a1", now, now)
		b.upstreams.Configure(append(engines(b), fakeUpstream("engine", "a", 2)))
		for range 12 {
			b.submit("/log/1")
			assert.Assert(t, b.lastSend().Upstream.FailureDomain != "a")
			assert.Assert(t, b.lastSend().CopyTo != "engine-a2")
		}
	})
}

// Guards against upstreams that are avoided although they have recovered.
func TestSignsOfLifeEndTheSuspicionOfFailure(t *testing.T) {
	now := time.Now()
	row := func(failed, seen, reported time.Time) upstream.Row {
		r := upstream.Row{FailedAt: failed, LastOutputAt: seen}
		r.Report.At = reported
		return r
	}
	cases := []struct {
		name string
		row  upstream.Row
		want bool
	}{
		{"failed", row(now, time.Time{}, time.Time{}), true},
		{"output since", row(now.Add(-time.Second), now, time.Time{}), false},
		{"report that may be older", row(now.Add(-time.Second), time.Time{}, now), true},
		{"report since", row(now.Add(-2*time.Second), time.Time{}, now), false},
		{"long ago", row(now.Add(-time.Minute), time.Time{}, time.Time{}), false},
	}
	for _, c := range cases {
		assert.Equal(t, outages{}.mayBeLost(c.row, now), c.want, c.name)
	}
}

// Guards against resuming a stream from a copy whose holder has failed.
func TestCopyOfALostHolderIsNotUsed(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.submit("/log/1")
		first := b.lastSend()
		first.StreamBegan(200, nil)
		first.event(1)
		now := time.Now()
		b.upstreams.RecordFailure(model.UpstreamID(first.CopyTo), now, now)
		first.Lost(continuation.LossReset, "EOF", true)
		b.advance(0)
		assert.Assert(t, b.lastSend().ResumeFrom == nil)
	})
}

// engines returns the fake engines.
func engines(b *harness) []model.Upstream {
	var all []model.Upstream
	for _, row := range b.upstreams.Serving("engine") {
		all = append(all, row.Upstream)
	}
	return all
}

// Guards against instances that place streams at the same moment, without knowing
// each other's placements, and all choose the same engine.
func TestSimultaneousPlacementsSpread(t *testing.T) {
	withHarness(t, func(b *harness) {
		chosen := map[model.UpstreamID]int{}
		for i := range 24 {
			r := &activeRequest{m: b.m, req: &Request{ID: model.RequestID(fmt.Sprint(i)), Work: GenerationWork{PromptTokens: 5000}}}
			r.service.Name = "engine"
			b.m.opts.Commitments.Add("engine-a0", commitment.Work{Requests: 1, MemoryTokens: 800})
			to, _ := b.m.pickEngine(r, streamDemand{prefillTokens: 5000, memoryTokens: 5800})
			up := to.engine
			b.m.opts.Commitments.Remove("engine-a0", commitment.Work{Requests: 1, MemoryTokens: 800})
			chosen[up.ID]++
		}
		assert.Assert(t, len(chosen) >= 5, "%v", chosen)
	})
}
