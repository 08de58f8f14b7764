package registry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// refusalForms are the ways in which the store turns an instance away.
var refusalForms = map[string]func(s *fakeStore, away bool){
	"refused": func(s *fakeStore, away bool) { s.unreachable.Store(away) },
	"silent":  func(s *fakeStore, away bool) { s.hangs.Store(away) },
}

// checkDropped removes u1 while the store turns instances away, and checks that all instances
// have dropped it at the bound for leaving upstreams, and do not take it back.
func checkDropped(t *testing.T, w *storeContent, c fakePeers, away []model.InstanceID, set func(s *fakeStore, away bool), phase int) {
	t.Helper()
	for _, id := range away {
		set(c[id].store, true)
	}
	time.Sleep(time.Duration(phase%2) * 500 * time.Millisecond)
	w.remove("u1")
	time.Sleep(defaultLeaveTimeout)
	for range 4 {
		synctest.Wait()
		for id, m := range c {
			assert.Assert(t, !m.has("u1"), "%d away, phase %d: %s has the upstream", len(away), phase, id)
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// Guards against an instance that the store turns away and that looks for another one too
// late to drop an upstream in time: it waited until its own next read, and passed over others
// for 3 s because their entries had just become too old.
func TestInstancesThatAreTurnedAwayDropGoneUpstreams(t *testing.T) {
	ids := memberIDs(12)
	for form, set := range refusalForms {
		for _, away := range []int{2, 4} {
			t.Run(fmt.Sprint(form, away), func(t *testing.T) {
				inEachPhase(t, 60*time.Millisecond, len(ids), ids, func(t *testing.T, w *storeContent, c fakePeers, phase int) {
					checkDropped(t, w, c, ids[:away], set, phase)
				})
			})
		}
	}
}

// Guards against a cell whose members are all turned away and that asks no instance of
// another cell.
func TestCellThatIsTurnedAwayAsksOthers(t *testing.T) {
	ids := memberIDs(9) // cells of four, four and one
	for form, set := range refusalForms {
		t.Run(form, func(t *testing.T) {
			inEachPhase(t, 60*time.Millisecond, 4, ids, func(t *testing.T, w *storeContent, c fakePeers, phase int) {
				checkDropped(t, w, c, []model.InstanceID{ids[0], ids[1], ids[8]}, set, phase)
			})
		})
	}
}
