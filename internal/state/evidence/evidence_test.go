package evidence

import (
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawCounts(rt *rapid.T) Counts {
	c := Counts{
		Requests: uint64(rapid.IntRange(1, 1000).Draw(rt, "requests")),
		Failures: rapid.Uint64Range(0, 9).Draw(rt, "failures"),
	}
	for range rapid.IntRange(0, 5).Draw(rt, "buckets") {
		i := rapid.IntRange(0, Buckets-1).Draw(rt, "bucket")
		c.FirstWait[i] = rapid.Uint64().Draw(rt, "first wait") >> 20
		c.Pace[Buckets-1-i] = rapid.Uint64Range(0, 300).Draw(rt, "pace")
	}
	return c
}

// Guards against counts that change when a row is packed.
func TestPackedRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := drawCounts(rt)
		assert.Equal(rt, pack(c).counts(), c)
	})
	assert.Equal(t, packedCounts("").counts(), Counts{})
}

// oracle keeps the counts of all rows unpacked, and sums them on demand. A row of
// a minute before foldedBefore stays in the sum and gets no more counts.
type oracle struct {
	rows         map[Key]Counts
	foldedBefore int64
}

func (o *oracle) sums(v model.VersionKey) map[SumKey]Counts {
	sums := map[SumKey]Counts{}
	for key, c := range o.rows {
		if key.Version == v {
			total := sums[key.sumKey()]
			total.replaceRow(Counts{}, c)
			sums[key.sumKey()] = total
		}
	}
	return sums
}

func (o *oracle) instanceRows(id model.InstanceID, oldest int64) map[Key]Counts {
	rows := map[Key]Counts{}
	for key, c := range o.rows {
		if key.Instance == id && key.Minute >= max(oldest, o.foldedBefore) {
			rows[key] = c
		}
	}
	return rows
}

// Guards against evidence that is counted twice, lost, or counted for another
// version, route or minute, when rows arrive repeated, in any order and after
// their minute was folded.
func TestSumsMatchRows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, want := NewTable(), &oracle{rows: map[Key]Counts{}}
		versions := []model.VersionKey{{Serves: "m", Version: "1"}, {Serves: "m", Version: "2"}}
		draw := func(rt *rapid.T, oldest int64) Key {
			return Key{
				Instance: rapid.SampledFrom([]model.InstanceID{"a", "b"}).Draw(rt, "instance"),
				Version:  rapid.SampledFrom(versions).Draw(rt, "version"),
				Route:    rapid.SampledFrom([]string{"r", "s"}).Draw(rt, "route"),
				Minute:   oldest + int64(rapid.IntRange(0, 5).Draw(rt, "minute")),
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"observe": func(rt *rapid.T) {
				key, o := draw(rt, want.foldedBefore), Observation{Failed: rapid.Bool().Draw(rt, "failed"), FirstWait: 1, Pace: 1}
				table.Observe(key, o)
				c := want.rows[key]
				c.Requests++
				c.FirstWait[0]++
				c.Pace[0]++
				if o.Failed {
					c.Failures++
				}
				want.rows[key] = c
			},
			"merge": func(rt *rapid.T) {
				key, c := draw(rt, max(want.foldedBefore-3, 0)), drawCounts(rt)
				higher := key.Minute >= want.foldedBefore && c.Requests > want.rows[key].Requests
				assert.Equal(rt, table.Merge(key, c), higher)
				if higher {
					want.rows[key] = c
				}
			},
			"fold": func(rt *rapid.T) {
				minute := want.foldedBefore + int64(rapid.IntRange(-1, 2).Draw(rt, "minutes"))
				table.FoldBefore(minute)
				want.foldedBefore = max(want.foldedBefore, minute)
			},
			"drop": func(rt *rapid.T) {
				minute := want.foldedBefore + int64(rapid.IntRange(-3, 1).Draw(rt, "minutes"))
				table.DropBefore(minute)
				want.foldedBefore = max(want.foldedBefore, minute)
				for key := range want.rows {
					if key.Minute < minute {
						delete(want.rows, key)
					}
				}
			},
			"": func(rt *rapid.T) {
				minutes := map[int64]int{}
				for _, v := range versions {
					assert.DeepEqual(rt, table.Sums(v), want.sums(v))
				}
				for _, id := range []model.InstanceID{"a", "b"} {
					assert.DeepEqual(rt, table.InstanceRows(id, want.foldedBefore+1), want.instanceRows(id, want.foldedBefore+1))
					for key, c := range want.instanceRows(id, 0) {
						minutes[key.Minute]++
						got, ok := table.Get(key)
						assert.Assert(rt, ok)
						assert.Equal(rt, got, c)
					}
				}
				assert.DeepEqual(rt, table.RowsByMinute(), minutes)
			},
		})
	})
}
