package membership

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against callers that are sent to an instance that is stopping or lost, or
// to another failure domain although their own has enough live instances.
func TestNearby(t *testing.T) {
	in := func(id, domain string, state model.InstanceState) model.Instance {
		return model.Instance{ID: model.InstanceID(id), FailureDomain: model.FailureDomain(domain), CallerAddress: id, State: state}
	}
	live, suspected, leaving := model.InstanceLive, model.InstanceSuspected, model.InstanceLeaving
	cases := []struct {
		name    string
		members []model.Instance
		want    int
		without string
	}{
		{"own domain", []model.Instance{in("1", "a", live), in("2", "a", live), in("3", "b", live)}, 2, "3"},
		{"too few near", []model.Instance{in("1", "a", live), in("2", "b", live), in("3", "b", live)}, 3, ""},
		{"leaving", []model.Instance{in("1", "a", live), in("2", "a", leaving), in("3", "a", live)}, 2, "2"},
		{"suspected", []model.Instance{in("1", "a", live), in("2", "a", suspected), in("3", "a", live)}, 2, "2"},
		{"only suspected", []model.Instance{in("1", "a", suspected)}, 1, ""},
		{"none", nil, 0, ""},
	}
	for _, c := range cases {
		found := Nearby(c.members, "a", time.Now())
		assert.Equal(t, len(found.Instances), c.want, c.name)
		for _, in := range found.Instances {
			assert.Assert(t, string(in.ID) != c.without, c.name)
		}
	}
}
