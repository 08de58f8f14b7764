package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"gotest.tools/v3/assert"
)

func admitRules() *model.RoutingRules {
	to := func(service string) []model.RouteTarget { return []model.RouteTarget{{Service: service, Weight: 1}} }
	return &model.RoutingRules{
		Routes: []model.HostRoute{
			{Name: "all", Host: "h", Prefix: "/a/", Targets: to("s")},
			{Name: "part", Host: "h", Prefix: "/a/b/", Targets: to("s")},
			{Name: "open", Host: "h", Prefix: "/open/", Targets: to("s"), Public: true},
			{Name: "split", Host: "h", Prefix: "/split/", Targets: []model.RouteTarget{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}},
		},
		Holders: []model.KeyHolder{{Organisation: "o", Keys: []string{"k1", "k2"}}},
	}
}

// Guards against a request that is matched to a wrong route or organisation, or is
// refused although the rules allow it.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name, host, path, key string
		route, code           string
	}{
		{"prefix", "h", "/a/x", "k1", "all", ""},
		{"longest prefix", "h", "/a/b/x", "k2", "part", ""},
		{"prefix ends with a slash", "h", "/a", "k1", "", codeNoRoute},
		{"other host", "i", "/a/x", "k1", "", codeNoRoute},
		{"host in capitals", "H", "/a/x", "k1", "all", ""},
		{"unknown key", "h", "/a/x", "k3", "", codeUnknownCredential},
		{"no key", "h", "/a/x", "", "", codeUnknownCredential},
		{"public without key", "h", "/open/x", "", "open", ""},
	}
	for _, c := range cases {
		admitted, refusal := Admit(rules.NewIndex(admitRules()), &Request{ID: "r", Host: c.host, Path: c.path, Credential: c.key})
		if c.code != "" {
			assert.Equal(t, refusal.Code, c.code, c.name)
			continue
		}
		assert.Assert(t, refusal == nil, c.name)
		assert.Equal(t, admitted.Route.Name, c.route, c.name)
		if c.key != "" {
			assert.Equal(t, admitted.Organisation, model.OrganisationID("o"), c.name)
		}
	}
}

// Guards against rules that name key holders, none of which is left, and that admit any caller
// as rules without key holders do.
func TestRulesWhoseLastKeyHolderIsGoneAdmitNoKey(t *testing.T) {
	closed := admitRules()
	closed.Holders, closed.KeysRequired = nil, true
	open := admitRules()
	open.Holders = nil
	for _, key := range []string{"", "k1", "k3"} {
		_, refusal := Admit(rules.NewIndex(closed), &Request{ID: "r", Host: "h", Path: "/a/x", Credential: key})
		assert.Assert(t, refusal != nil && refusal.Code == codeUnknownCredential, "key %q", key)
		_, refusal = Admit(rules.NewIndex(closed), &Request{ID: "r", Host: "h", Path: "/open/x", Credential: key})
		assert.Assert(t, refusal == nil, "public route, key %q", key)
		_, refusal = Admit(rules.NewIndex(open), &Request{ID: "r", Host: "h", Path: "/a/x", Credential: key})
		assert.Assert(t, refusal == nil, "no key holders in the rules, key %q", key)
	}
}

// Guards against a route without a service whose requests run at upstreams of any service.
func TestRouteWithoutAServiceRunsNowhere(t *testing.T) {
	for name, targets := range map[string][]model.RouteTarget{"no target": nil, "no name": {{Weight: 1}}, "no weight": {{}, {Service: "s"}}} {
		r := &model.RoutingRules{Routes: []model.HostRoute{{Host: "h", Prefix: "/", Targets: targets}}}
		_, refusal := Admit(rules.NewIndex(r), &Request{ID: "r", Host: "h", Path: "/x"})
		assert.Assert(t, refusal != nil && refusal.Code == codeNoUpstream && refusal.Outcome == model.OutcomeNotRun, name)
	}
}

// Guards against a traffic split that ignores its weights, or that sends the same
// request to different services.
func TestSplitFollowsItsWeights(t *testing.T) {
	count := map[string]int{}
	for i := range 2000 {
		req := &Request{ID: model.RequestID(time.Duration(i).String()), Host: "h", Path: "/split/", Credential: "k1"}
		first, _ := Admit(rules.NewIndex(admitRules()), req)
		again, _ := Admit(rules.NewIndex(admitRules()), req)
		assert.Equal(t, first.Service.Name, again.Service.Name)
		count[first.Service.Name]++
	}
	assert.Assert(t, count["y"] > 140 && count["y"] < 260, "%v", count)
}

// Guards against a Retry-After that is too short while no rules are known: a caller
// that retries only once would fail.
func TestNotReadyRefusalHasRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		for left, want := range map[time.Duration]time.Duration{
			25 * time.Second:        2 * time.Second,
			1500 * time.Millisecond: 500 * time.Millisecond,
		} {
			_, refusal := Admit(nil, &Request{Arrived: now, Deadline: now.Add(left)})
			assert.Equal(t, refusal.RetryAfter, want)
			assert.Equal(t, refusal.Outcome, model.OutcomeNotRun)
		}
	})
}

// BenchmarkAdmit measures the lookup of a request's route, organisation and service.
func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{20, 400, 2000} {
		b.Run(fmt.Sprintf("routes=%d", count), func(b *testing.B) {
			r := &model.RoutingRules{}
			for i := range count {
				r.Routes = append(r.Routes, model.HostRoute{
					Name: fmt.Sprint(i), Host: "h.example", Prefix: fmt.Sprintf("/area%d/part%d/", i%7, i),
					Targets: []model.RouteTarget{{Service: "s", Weight: 1}},
				})
				r.Holders = append(r.Holders, model.KeyHolder{Organisation: model.OrganisationID(fmt.Sprint(i)), Keys: []string{fmt.Sprintf("key%d", i)}})
			}
			index := rules.NewIndex(r)
			req := &Request{ID: "r", Host: "h.example", Path: r.Routes[count-1].Prefix + "x", Credential: fmt.Sprintf("key%d", count-1)}
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := Admit(index, req); refusal != nil {
					b.Fatal(refusal.Code)
				}
			}
		})
	}
}
