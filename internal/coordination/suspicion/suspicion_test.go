package suspicion

import (
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"gotest.tools/v3/assert"
)

// Guards against a planned end that counts as a death, and a death that is
// counted against a version although a suspect explains it.
func TestPlannedEndIsNoDeath(t *testing.T) {
	m := New(Options{
		Suspects: suspect.NewTable("i0"),
		Planned:  func(id model.UpstreamID, _ uint64) bool { return id == "leaving" },
	})
	fp := []Running{{Fingerprint: "f"}}
	m.EngineDied("leaving", 1, fp)
	assert.Equal(t, m.Check("f"), Free)
	m.EngineDied("e", 1, fp)
	m.EngineDied("e", 1, fp)
	assert.Equal(t, m.Check("f"), Quarantine)
	assert.Assert(t, !m.Explained("e", 1))
	m.EngineDied("e", 2, fp)
	assert.Equal(t, m.Check("f"), NeedsPermit)
	assert.Assert(t, m.Explained("e", 1))
	m.EngineDied("e", 3, fp)
	assert.Equal(t, m.Check("f"), Refused)
	assert.Assert(t, !m.Grant("f", suspect.Holder{Nonce: 1}))
	m.Finished("f")
	assert.Equal(t, m.Check("f"), Free)
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
