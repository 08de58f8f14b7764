package peerwire

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/registry"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// manyRoutes returns rules with n routes whose names differ.
func manyRoutes(revision uint64, n int) *model.RoutingRules {
	random := rand.New(rand.NewPCG(revision, 0))
	rules := &model.RoutingRules{
		Revision: revision,
		Services: []model.BackendService{{Name: "s", Engine: &model.EngineTraits{MemoryTokens: 55000}}},
		Holders:  []model.KeyHolder{{Organisation: "o", Keys: []string{"k"}}},
		Limits:   model.CallerLimits{BodyBytes: 1 << 20},
	}
	for range n {
		rules.Routes = append(rules.Routes, model.HostRoute{
			Name:    fmt.Sprintf("r-%x", random.Uint64()),
			Host:    "h.example",
			Prefix:  fmt.Sprintf("/%x/", random.Uint32()),
			Repeat:  model.RepeatAny,
			Timeout: time.Second,
			Targets: []model.RouteTarget{{Service: "s", Weight: 1}},
		})
	}
	return rules
}

// changed returns rules of the next revision after a random change of the routes.
func changed(rules *model.RoutingRules, random *rand.Rand) *model.RoutingRules {
	next := *rules
	next.Revision++
	next.Routes = slices.Clone(rules.Routes)
	at := random.IntN(len(next.Routes))
	switch random.IntN(4) {
	case 0:
		next.Routes[at].Targets = []model.RouteTarget{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}
	case 1:
		next.Routes = slices.Delete(next.Routes, at, at+1)
	case 2:
		next.Routes = slices.Insert(next.Routes, at, manyRoutes(next.Revision, 3).Routes...)
	default:
		other := random.IntN(len(next.Routes))
		next.Routes[at], next.Routes[other] = next.Routes[other], next.Routes[at]
	}
	return &next
}

// Guards against rules that differ from those of the sender after a difference was
// applied: the instance would forward requests by routes that no operator wrote.
func TestPackedRulesRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	base := manyRoutes(1, 20)
	whole, err := PackRules(base, nil)
	assert.NilError(t, err)
	unpacked, err := unpackRules(whole, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, unpacked, base)
	for range 200 {
		next := base
		for range 1 + random.IntN(3) {
			next = changed(next, random)
		}
		packed, err := PackRules(next, base)
		assert.NilError(t, err)
		unpacked, err := unpackRules(packed, base)
		assert.NilError(t, err)
		assert.DeepEqual(t, unpacked, next)
		base = next
	}
}

// Guards against a difference that is applied to other rules than those it refers to.
func TestPackedRulesNeedTheirBase(t *testing.T) {
	base := manyRoutes(1, 20)
	next := changed(base, rand.New(rand.NewPCG(1, 2)))
	packed, err := PackRules(next, base)
	assert.NilError(t, err)
	_, err = unpackRules(packed, nil)
	assert.ErrorContains(t, err, "revision 1")
	_, err = unpackRules(packed, next)
	assert.ErrorContains(t, err, "revision 1")
}

// Guards against a peer's packed rules that crash the decoder or take unbounded memory.
func FuzzUnpackRules(f *testing.F) {
	base := manyRoutes(1, 3)
	for _, from := range []*model.RoutingRules{nil, base} {
		packed, err := PackRules(manyRoutes(2, 3), from)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if rules, err := unpackRules(data, base); err == nil {
			_, err := PackRules(rules, base)
			assert.NilError(t, err)
		}
	})
}

// Guards against rules that close the system, since no key holder is left, and that open it at
// the instances which receive them from another one.
func TestRulesWithoutKeyHoldersStayClosed(t *testing.T) {
	rules := manyRoutes(1, 3)
	rules.Holders, rules.KeysRequired = nil, true
	packed, err := PackRules(rules, nil)
	assert.NilError(t, err)
	for name, packed := range map[string][]byte{"packed": packed, "plain": nil} {
		message, err := EncodeNews(registry.Delta{Rules: rules}, packed)
		assert.NilError(t, err, name)
		delta, err := DecodeNews(message, nil)
		assert.NilError(t, err, name)
		assert.Assert(t, delta.Rules.RequireKeys(), name)
	}
}
