package registry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against an upstream that left and returns to work, at instances that read the store
// and at those that poll, because a restored store shows the entry that it removed; and against
// one that stays out of use although it writes its entry again.
func TestUpstreamThatLeftDoesNotComeBackWithARestore(t *testing.T) {
	for _, lateReader := range []bool{false, true} { // one that started after the restore knows no dropped entries
		synctest.Test(t, func(t *testing.T) {
			w := newStoreContent()
			c := startCellInEra(w, 1, "a", "b", "c")
			defer c.close()
			time.Sleep(3 * time.Second)
			w.change(func() {
				w.revision++
				w.entries["u1"] = entryOf("u1", true, 5)
			})
			time.Sleep(2 * time.Second)
			w.remove("u1")
			w.remove("u2") // crashed, lapsed
			time.Sleep(2 * time.Second)
			synctest.Wait()
			for id, m := range c {
				assert.Assert(t, !m.has("u1") && !m.has("u2"), "%s", id)
			}
			w.restore(func() {
				w.revision = 10
				w.entries["u1"], w.entries["u2"] = entryOf("u1", false, 4), entryOf("u2", false, 1)
			})
			if lateReader {
				c["a"].pool.Post(keyEntries, worker.Func(func() { clear(c["a"].entries.gone) }))
			}
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				for id, m := range c {
					assert.Assert(t, lateReader && id == "a" || !m.has("u1"), "late reader: %v, %s has u1: %v, u2: %v", lateReader, id, m.has("u1"), m.has("u2"))
					assert.Assert(t, lateReader || !m.has("u2"), "%s has u2", id)
				}
			}
			w.change(func() {
				w.revision++
				w.entries["u2"] = entryOf("u2", false, 2)
			})
			time.Sleep(2 * time.Second)
			synctest.Wait()
			for id, m := range c {
				assert.Assert(t, lateReader && id == "a" || !m.has("u1"), "%s", id)
				assert.Assert(t, m.has("u2"), "%s lacks an upstream that writes its entry again", id)
			}
		})
	}
}

// Guards against dropped entries that are remembered without a bound, or for longer than a
// restored store may show them.
func TestDroppedEntriesAreForgotten(t *testing.T) {
	g, now := goneEntries{}, time.Now()
	for n := range maxGoneEntries + 10 {
		g.add(entryOf(model.UpstreamID(fmt.Sprint(n)), true, 3), now.Add(time.Duration(n)))
	}
	assert.Equal(t, len(g), maxGoneEntries)
	assert.Assert(t, !g.covers(entryOf("9", true, 3), false, now), "the oldest ones are forgotten")
	assert.Assert(t, g.covers(entryOf("10", false, 3), false, now))
	assert.Assert(t, !g.covers(entryOf("10", false, 3), false, now.Add(goneEntryAge+time.Second)))
}

// Guards against upstreams that stay out of use although they write their entries again, and
// against those that left and are taken back from any source.
func TestDroppedEntryCoversOlderOnes(t *testing.T) {
	g, now := goneEntries{}, time.Now()
	g.add(entryOf("left", true, 3), now)
	g.add(entryOf("lapsed", false, 3), now)
	for _, id := range []model.UpstreamID{"left", "lapsed"} {
		for _, polled := range []bool{false, true} {
			covers := id == "left" || !polled
			assert.Equal(t, g.covers(entryOf(id, false, 2), polled, now), covers, "%s, %v", id, polled)
			assert.Equal(t, g.covers(entryOf(id, false, 3), polled, now), covers, "%s, %v", id, polled)
			assert.Assert(t, !g.covers(entryOf(id, false, 4), polled, now), "written since")
			restarted := entryOf(id, false, 1)
			restarted.Incarnation = 1
			assert.Assert(t, !g.covers(restarted, polled, now), "started since")
		}
	}
}
