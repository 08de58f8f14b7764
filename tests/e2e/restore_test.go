package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
	"gotest.tools/v3/assert"
)

const (
	// operatorDelay is the time after a restore after which the operator writes again what
	// the copy lacks.
	operatorDelay = 400 * time.Millisecond
	// heldAfterRestore is how long instances keep upstreams that the store lacks after a
	// restore.
	heldAfterRestore = 2500 * time.Millisecond
	// rowsBackWithin is the time within which 12 instances write their rows again.
	rowsBackWithin = 4 * time.Second
)

// restore brings the store back from a copy. With ahead, other rows are written at once until
// the versions have overtaken all that instances may have read, so that no 410 shows the
// restore.
func restore(store *fleet.Store, before fleet.Copy, ahead bool) {
	last := store.Version()
	store.Restore(before)
	for n := 0; ahead && store.Version() <= last+5; n++ {
		store.Put("other", fmt.Sprint(n), []byte("{}"))
	}
}

// Guards against instances whose rows are missing for good after a restore of the store, and
// against requests that are not served or rules that revert because of it, also after two
// restores in quick succession and for an instance that starts again in between.
func TestStoreIsRestoredFromAnOlderCopy(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name           string
		ahead          bool
		restores       int
		restartBetween bool
	}{
		{"versions stay behind", false, 1, false},
		{"versions overtake", true, 1, false},
		{"two in quick succession", true, 2, false},
		{"two, behind, and a restart in between", false, 2, true},
		{"two, ahead, and a restart in between", true, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			const early = 4 // instances that are in the copy
			s := startRestore(t, early)
			store := s.fleet.Store
			time.Sleep(time.Second)
			before := store.Copy()
			for i := early; i < 6; i++ {
				s.startEdge(s.dir, i, s.fleet.StoreAddress())
			}
			s.changeRules(false)
			s.awaitReady()
			time.Sleep(time.Second)
			stop := make(chan struct{})
			done := make(chan struct{}, len(s.procs))
			for i := range early {
				go func() { s.ask(i, "key", "/read/1", s.key, stop); done <- struct{}{} }()
			}
			for n := range c.restores {
				restore(store, before, c.ahead)
				if c.restartBetween && n == 0 {
					s.procs[early].kill()
					assert.NilError(t, s.procs[early].start())
				}
				time.Sleep(300 * time.Millisecond)
			}
			eventually(t, rowsBackWithin, "all instances have their rows again", func() bool {
				return len(store.Keys("instances")) == len(s.procs)
			})
			store.Put("op", "config", s.written)
			s.awaitReady()
			time.Sleep(heldAfterRestore)
			close(stop)
			for range early {
				<-done
			}
			s.mu.Lock()
			answers := slices.Clone(s.answers["key"])
			s.mu.Unlock()
			assert.Assert(t, len(answers) > 100, "%d answers", len(answers))
			for _, a := range answers {
				assert.Check(t, a.status == http.StatusOK, "instance %d answered %d", a.instance, a.status)
			}
			for i := range s.procs {
				req := s.request(i, http.MethodGet, "/read/1")
				req.Header.Set("Authorization", "Token "+s.key)
				status, body, _ := s.do(req)
				assert.Check(t, status == http.StatusOK, "instance %d: %d %s", i, status, body)
			}
			t.Logf("%d answers during the restores", len(answers))
		})
	}
}

// restoreSeries is a deployment whose store is restored. dir holds the settings.
type restoreSeries struct {
	*outageSeries
	dir     string
	written []byte // rules as the operator wrote them last
}

func startRestore(t *testing.T, instances int) *restoreSeries {
	t.Helper()
	f, err := fleet.Start("127.0.0.1:0")
	assert.NilError(t, err)
	f.Store.SetEra(1)
	s := &restoreSeries{outageSeries: &outageSeries{edges: &edges{t: t, fleet: f}, answers: map[string][]outageAnswer{}}, dir: t.TempDir()}
	t.Cleanup(func() {
		for _, p := range s.procs {
			p.kill()
			if t.Failed() {
				t.Logf("%s:\n%s", p.name, p.tail(20))
			}
		}
		assert.Check(t, f.Close())
	})
	for i := range 3 {
		s.addDesk(fmt.Sprint("desk", i))
	}
	for i := range instances {
		s.startEdge(s.dir, i, f.StoreAddress())
	}
	s.changeRules(false)
	s.awaitReady()
	return s
}

// changeRules publishes the next version, whose key the requests have.
func (s *restoreSeries) changeRules(taken bool) {
	s.outageSeries.changeRules(taken)
	s.written = s.fleet.Store.Get("op", "config")
}
