package upstream

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against Loads, CountUsable and HasVersion disagreeing with the rows.
func TestLoadsMatchRows(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	ids := rapid.SampledFrom([]model.UpstreamID{"a", "b", "c", "d"})
	versions := rapid.SampledFrom([]string{"", "1", "2"})
	rapid.Check(t, func(rt *rapid.T) {
		table, sequence := NewTable(), uint64(0)
		rt.Repeat(map[string]func(*rapid.T){
			"configure": func(rt *rapid.T) {
				var all []model.Upstream
				for _, id := range rapid.SliceOfDistinct(ids, rapid.ID[model.UpstreamID]).Draw(rt, "upstreams") {
					all = append(all, model.Upstream{ID: id, Serves: "m", Version: versions.Draw(rt, "version")})
				}
				table.Configure(all)
			},
			"report": func(rt *rapid.T) {
				sequence++
				health := rapid.SampledFrom([]Health{HealthUnknown, HealthUp, HealthDown, HealthLeaving}).Draw(rt, "health")
				table.Apply(Report{
					Upstream: ids.Draw(rt, "upstream"), Incarnation: sequence / 4, Sequence: sequence, Health: health,
					Running: int(sequence), Waiting: 1, TokenTime: time.Second, PrefillRate: 2,
				})
			},
			"fail":    func(rt *rapid.T) { table.RecordFailure(ids.Draw(rt, "upstream"), now, now.Add(time.Second)) },
			"acquire": func(rt *rapid.T) { table.Acquire(ids.Draw(rt, "upstream"), now) },
			"release": func(rt *rapid.T) { table.Release(ids.Draw(rt, "upstream")) },
			"": func(rt *rapid.T) {
				version := versions.Draw(rt, "version")
				want, usable, present := []Load{}, 0, false
				for _, row := range table.Serving("m") {
					present = present || row.Upstream.Version == version
					if !row.Usable(now) {
						continue
					}
					usable++
					if version == "" || row.Upstream.Version == version {
						want = append(want, Load{
							row.Upstream.ID, row.Report.Running, row.Report.Waiting,
							row.Report.TokenTime, row.Report.PrefillRate, row.InFlight, row.Sent,
						})
					}
				}
				assert.DeepEqual(rt, table.Loads("m", version, "", now), want)
				assert.Equal(rt, table.CountUsable("m", now), usable)
				assert.Equal(rt, table.HasVersion("m", version), present)
			},
		})
	})
}

// Guards against sending a request to an upstream that is not in the document,
// where the request is not counted as in flight.
func TestAcquireOfUnknownUpstream(t *testing.T) {
	table := NewTable()
	_, ok := table.Acquire("a", time.Now())
	assert.Assert(t, !ok)
	table.Configure([]model.Upstream{{ID: "a", Address: "127.0.0.1:1"}})
	up, ok := table.Acquire("a", time.Now())
	assert.Assert(t, ok)
	assert.Equal(t, up.Address, "127.0.0.1:1")
}

// Guards against an upstream that stays out of use for good because its entry lapsed and
// came back while it had work in flight, and against one that is used again although it
// said that it leaves.
func TestUpstreamWithWorkMayComeBack(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	all := []model.Upstream{{ID: "a", Serves: "m"}}
	for name, test := range map[string]struct {
		whileAway func(*Table)
		reported  Health
		want      Health
	}{
		"same start":              {func(*Table) {}, HealthUp, HealthUp},
		"entry says that it ends": {func(*Table) {}, HealthLeaving, HealthLeaving},
		"answer says that it ends": {func(table *Table) {
			assert.Assert(t, table.Leave("a"))
			assert.Assert(t, !table.Leave("a"))
		}, HealthUp, HealthLeaving},
	} {
		table := NewTable()
		table.Configure(all)
		table.Apply(Report{Upstream: "a", Incarnation: 1, Sequence: 1, Health: HealthUp})
		table.Acquire("a", now)
		table.Configure(nil)
		row, _ := table.Get("a")
		assert.Equal(t, row.Report.Health, HealthLeaving, name)
		test.whileAway(table)
		table.Configure(all)
		table.Apply(Report{Upstream: "a", Incarnation: 1, Sequence: 2, Health: test.reported})
		row, _ = table.Get("a")
		assert.Equal(t, row.Report.Health, test.want, name)
	}
}
