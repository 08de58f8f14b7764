package suspicion

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"gotest.tools/v3/assert"
)

// Guards against a planned shutdown that counts as a death, and against a death
// that counts against the version although a suspect explains it.
func TestPlannedEndIsNoDeath(t *testing.T) {
	m := New(Options{
		Suspects:        suspect.NewTable("i0"),
		PlannedShutdown: func(id model.UpstreamID, _ uint64) bool { return id == "leaving" },
	})
	fp := []Running{{Fingerprint: "f"}}
	m.EngineDied("leaving", 1, fp)
	assert.Equal(t, m.Check("f"), Unrestricted)
	m.EngineDied("e", 1, fp)
	m.EngineDied("e", 1, fp)
	assert.Equal(t, m.Check("f"), Quarantine)
	assert.Assert(t, !m.ExplainedBySuspect("e", 1))
	m.EngineDied("e", 2, fp)
	assert.Equal(t, m.Check("f"), NeedsPermit)
	assert.Assert(t, m.ExplainedBySuspect("e", 1))
	m.EngineDied("e", 3, fp)
	assert.Equal(t, m.Check("f"), Refused)
	assert.Assert(t, !m.GrantPermit("f", suspect.Holder{Nonce: 1}))
	m.Finished("f")
	assert.Equal(t, m.Check("f"), Unrestricted)
}

// Guards against different requests that share a fingerprint, and against a
// fingerprint that depends on the request's ID.
func TestFingerprint(t *testing.T) {
	base := model.GenerationSpec{Organisation: "o", Model: "m", Prompt: "p", Sampling: model.Sampling{Stop: []string{"ab"}}}
	seen := map[suspect.Fingerprint]bool{Fingerprint(base): true}
	for _, change := range []func(*model.GenerationSpec){
		func(s *model.GenerationSpec) { s.Organisation, s.Model = "om", "" },
		func(s *model.GenerationSpec) { s.Adapter = "a" },
		func(s *model.GenerationSpec) { s.Prompt = "q" },
		func(s *model.GenerationSpec) { s.Sampling.Seed = 1 },
		func(s *model.GenerationSpec) { s.Sampling.Temperature = 1 },
		func(s *model.GenerationSpec) { s.Sampling.TopP = 1 },
		func(s *model.GenerationSpec) { s.Sampling.MaxTokens = 1 },
		func(s *model.GenerationSpec) { s.Sampling.Stop = []string{"a", "b"} },
	} {
		spec := base
		change(&spec)
		assert.Assert(t, !seen[Fingerprint(spec)], "%+v", spec)
		seen[Fingerprint(spec)] = true
	}
	base.Request = "other"
	assert.Assert(t, seen[Fingerprint(base)])
}

// Guards against a permitted run that starts while its fingerprint runs on another
// engine, which could die as well, while another suspect runs on the engine, or
// although another suspect has an earlier claim of it.
func TestClaimWon(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	host := func(up model.UpstreamID, fp suspect.Fingerprint, by model.InstanceID, exclusive bool, after time.Duration) suspect.Host {
		return suspect.Host{
			ID: suspect.HostID{Upstream: up, Fingerprint: fp, By: by}, Exclusive: exclusive, Claimed: at.Add(after),
		}
	}
	claim := host("e", "f", "a", true, time.Second)
	for _, c := range []struct {
		other suspect.Host
		want  bool
	}{
		{host("e", "f", "b", true, 0), true},
		{host("e2", "g", "b", true, 0), true},
		{host("e2", "f", "b", false, 0), false},
		{host("e", "g", "b", false, 2*time.Second), false},
		{host("e", "g", "b", true, 0), false},
		{host("e", "g", "b", true, 2*time.Second), true},
	} {
		assert.Equal(t, claimWon(claim.ID, []suspect.Host{claim, c.other}), c.want, "%+v", c.other)
	}
	assert.Assert(t, !claimWon(claim.ID, nil), "the claim has expired")
}

// Guards against a suspect placed on the engine of a suspect that is refused after
// one more death.
func TestSuspectNearRefusalIsNotShared(t *testing.T) {
	hosts := []suspect.Host{{ID: suspect.HostID{Upstream: "e", Fingerprint: "g"}}}
	engines := []model.UpstreamID{"e"}
	_, ok := chooseShared(engines, "f", hosts, nil)
	assert.Assert(t, ok)
	_, ok = chooseShared(engines, "f", hosts, map[suspect.Fingerprint]bool{"g": true})
	assert.Assert(t, !ok)
}

// Guards against two runs under permits that two permit issuers granted before either had
// received the other's row.
func TestLaterPermitIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		early := suspect.Holder{Instance: "other", Nonce: 1}
		table, pool := suspect.NewTable("a"), worker.NewPool(worker.Options{Workers: 1})
		defer pool.Close()
		m := New(Options{Pool: pool, Suspects: table})
		m.PermitIssuers = func(suspect.Fingerprint) []PermitIssuer { return []PermitIssuer{LocalPermitIssuer{Manager: m}} }
		died := time.Now()
		time.Sleep(time.Second)
		m.EngineDied("gone", 1, []Running{{Fingerprint: "f"}})
		m.EngineDied("gone", 2, []Running{{Fingerprint: "f"}})
		refused := false
		m.Place(PlaceRequest{
			ID: "r", Fingerprint: "f", Engines: func() []model.UpstreamID { return []model.UpstreamID{"e"} },
		}, func(_ Placement, refusal *model.Refusal) { refused = refusal != nil })
		time.Sleep(claimSettleTime / 2) // within the wait for conflicting claims
		table.Merge(suspect.Rows{Permits: []suspect.Permit{{Fingerprint: "f", Holder: early, At: died}}}, time.Now())
		time.Sleep(defaultPlaceTimeout + time.Second)
		synctest.Wait()
		assert.Assert(t, refused, "the run of the other holder neither finished nor died")
		assert.Assert(t, table.HasPermit("f", early, time.Now()))
	})
}

// Guards against the refusal of a request that another instance has cleared, while
// the clear mark is still on its way.
func TestRefusalAwaitsClearMarks(t *testing.T) {
	for _, cleared := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			table, pool := suspect.NewTable("a"), worker.NewPool(worker.Options{Workers: 1})
			defer pool.Close()
			m := New(Options{Pool: pool, Suspects: table})
			for n := range uint64(3) {
				m.EngineDied("gone", n, []Running{{Fingerprint: "f"}})
			}
			answer := make(chan bool, 1)
			m.Place(PlaceRequest{ID: "r", Fingerprint: "f"}, func(_ Placement, refusal *model.Refusal) { answer <- refusal != nil })
			time.Sleep(800 * time.Millisecond)
			if cleared {
				m.Finished("f")
			}
			assert.Equal(t, <-answer, !cleared)
		})
	}
}
