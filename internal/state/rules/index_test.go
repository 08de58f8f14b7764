package rules

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an index that finds another route than a walk over all routes.
func TestIndexFindsTheLongestPrefix(t *testing.T) {
	segment := rapid.SampledFrom([]string{"", "/", "/a", "/a/", "/a/b/", "/ab/", "/b/"})
	host := rapid.SampledFrom([]string{"h", "H", "i"})
	rapid.Check(t, func(t *rapid.T) {
		r := &model.RoutingRules{}
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			r.Routes = append(r.Routes, model.HostRoute{
				Name: fmt.Sprint(i), Host: host.Draw(t, "host"), Prefix: segment.Draw(t, "prefix") + segment.Draw(t, "more"),
			})
		}
		asked, path := host.Draw(t, "asked"), segment.Draw(t, "path")+segment.Draw(t, "rest")+"x"
		best := -1
		for i, route := range r.Routes {
			if strings.EqualFold(route.Host, asked) && strings.HasPrefix(path, route.Prefix) && (best < 0 || len(route.Prefix) > len(r.Routes[best].Prefix)) {
				best = i
			}
		}
		got, found := NewIndex(r).Route(asked, path)
		assert.Equal(t, found, best >= 0)
		if found {
			assert.Equal(t, got.Name, r.Routes[best].Name)
		}
	})
}

// Guards against an organisation without a priority that counts as the most urgent one, and
// against a route's priority that overrides that of an organisation.
func TestPriorityOfTheOrganisationGoesBeforeTheRoute(t *testing.T) {
	zero := 0
	ix := NewIndex(&model.RoutingRules{Holders: []model.KeyHolder{{Organisation: "urgent", Priority: &zero}, {Organisation: "plain"}}})
	route := model.HostRoute{Priority: 2}
	assert.Equal(t, ix.Priority("urgent", route), 0)
	assert.Equal(t, ix.Priority("plain", route), 2)
	assert.Equal(t, ix.Priority("", route), 2)
}
