package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// has reports whether an instance may send requests to the upstream.
func (m *member) has(id model.UpstreamID) bool {
	return slices.ContainsFunc(m.upstreams.Serving("s"), func(row upstream.Row) bool { return row.Upstream.ID == id })
}

// remove removes the entry of an upstream.
func (w *storeContent) remove(id model.UpstreamID) {
	w.change(func() {
		w.revision++
		delete(w.entries, id)
	})
}

// Guards against a removed upstream that stays in use because the instance that reads the
// removal had been turned away by the store: it took that for an outage of the store, and
// put the removal off. Other instances, which had dropped the upstream, took it back from it.
func TestRemovalAfterAPartialOutageTakesEffectInTime(t *testing.T) {
	for _, refused := range [][]model.InstanceID{{"a"}, {"a", "b"}} {
		for _, outage := range []time.Duration{1700 * time.Millisecond, 5 * time.Second} {
			inEachPhase(t, 70*time.Millisecond, 3, []model.InstanceID{"a", "b", "c", "d"}, func(t *testing.T, w *storeContent, c fakePeers, phase int) {
				for _, id := range refused {
					c[id].store.unreachable.Store(true)
				}
				time.Sleep(outage)
				for _, id := range refused {
					c[id].store.unreachable.Store(false)
				}
				time.Sleep(200 * time.Millisecond)
				w.remove("u1")
				time.Sleep(defaultLeaveTimeout)
				for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
					synctest.Wait()
					for id, m := range c {
						assert.Assert(t, !m.has("u1"), "%s was refused %s, phase %d: %s still has the upstream", refused, outage, phase, id)
						assert.Assert(t, m.has("u2"))
					}
				}
			})
		}
	}
}

// randomStore changes a store and the ways to it at random, and remembers since when each
// upstream has been gone while the store itself was in order.
type randomStore struct {
	rand      *rand.Rand
	content   *storeContent
	members   fakePeers
	goneSince map[model.UpstreamID]time.Time
	next      int
}

func (s *randomStore) step() {
	ids := []model.InstanceID{"a", "b", "c"}
	m := s.members[ids[s.rand.IntN(len(ids))]]
	switch s.rand.IntN(6) {
	case 0:
		m.store.unreachable.Store(true)
	case 1, 2:
		m.store.unreachable.Store(false)
	case 3:
		m.unresponsive.Store(!m.unresponsive.Load())
	case 4:
		s.next++
		id := model.UpstreamID(fmt.Sprintf("n%d", s.next))
		s.content.change(func() {
			s.content.revision++
			s.content.entries[id] = entryOf(id, false, 1)
		})
	case 5:
		var present []model.UpstreamID
		s.content.change(func() {
			for id := range s.content.entries {
				if id != "u1" {
					present = append(present, id)
				}
			}
		})
		if len(present) > 0 {
			slices.Sort(present)
			id := present[s.rand.IntN(len(present))]
			s.content.remove(id)
			s.goneSince[id] = time.Now()
		}
	}
	s.content.change(func() { // upstreams renew their entries
		s.content.revision++
		for id, e := range s.content.entries {
			e.Sequence++
			s.content.entries[id] = e
		}
	})
}

// Guards against an instance that takes back an upstream that it had dropped, in any order
// of refusals, lost polls, additions and removals, while one instance can read the store.
func TestGoneUpstreamsNeverComeBack(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			w := newStoreContent()
			c := startCell(t, w, "a", "b", "c", "d")
			defer c.close()
			s := &randomStore{rand: rand.New(rand.NewPCG(seed, 1)), content: w, members: c, goneSince: map[model.UpstreamID]time.Time{}}
			time.Sleep(3 * time.Second)
			had, dropped := map[string]bool{}, map[string]bool{} // by instance and upstream
			for step := range 100 {
				s.step()
				time.Sleep(time.Duration(s.rand.IntN(400)) * time.Millisecond)
				synctest.Wait()
				for id, m := range c {
					assert.Assert(t, m.has("u1"), "seed %d, step %d: %s lost an upstream that was always there", seed, step, id)
					for n := range s.next {
						up := model.UpstreamID(fmt.Sprintf("n%d", n+1))
						key := string(id) + "/" + string(up)
						assert.Assert(t, !dropped[key] || !m.has(up), "seed %d, step %d: %s took %s back", seed, step, id, up)
						dropped[key] = dropped[key] || had[key] && !m.has(up)
						had[key] = m.has(up)
					}
				}
			}
			for _, m := range c {
				m.store.unreachable.Store(false)
				m.unresponsive.Store(false)
			}
			time.Sleep(10 * time.Second)
			synctest.Wait()
			for id, m := range c {
				for up := range w.entries {
					assert.Assert(t, m.has(up), "seed %d: %s lacks %s", seed, id, up)
				}
				for up := range s.goneSince {
					assert.Assert(t, !m.has(up), "seed %d: %s has %s", seed, id, up)
				}
			}
		})
	}
}
