package registry

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against an instance that gets no more callers because its row was lost,
// for example overwritten by a delayed write of its earlier start.
func TestInstanceWhoseRowIsLostAnnouncesItselfAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &storeContent{revision: 1, rules: &model.RoutingRules{Revision: 1}}
		c := startCell(t, w, "a", "b")
		defer c.close()
		time.Sleep(2 * time.Second)
		w.change(func() {
			w.instances = slices.DeleteFunc(w.instances, func(in model.Instance) bool { return in.ID == "b" })
		})
		time.Sleep(2 * instancesPollTime)
		synctest.Wait()
		in, _ := c["a"].opts.Instances.Get("b")
		assert.Equal(t, in.State, model.InstanceLive)
		assert.Assert(t, in.Incarnation > 2)
	})
}

// Guards against every instance reading the list of instances from the store, and
// against a new instance that reaches the others late.
func TestReaderPropagatesNewInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCells(t, w, 2, "a", "b", "c", "d")
		defer c.close()
		time.Sleep(5 * time.Second)
		before := c["d"].store.listReads.Load()
		w.change(func() {
			w.instances = append(w.instances, model.Instance{ID: "e", Incarnation: 9, State: model.InstanceLive})
		})
		time.Sleep(instancesPollTime + 3*maxReaderPollWait)
		synctest.Wait()
		in, known := c["d"].opts.Instances.Get("e")
		assert.Assert(t, known && in.Incarnation == 9)
		w.change(func() { w.instances = w.instances[:4] })
		time.Sleep(instancesPollTime + 3*maxReaderPollWait)
		synctest.Wait()
		in, _ = c["d"].opts.Instances.Get("e")
		assert.Equal(t, in.State, model.InstanceLeaving)
		assert.Equal(t, c["d"].store.listReads.Load(), before)
	})
}

// Guards against an instance that stays unknown because the reader, which has lost
// the store, does not deliver it.
func TestUnknownInstanceIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a", "b")
		defer c.close()
		time.Sleep(5 * time.Second)
		c["a"].store.unreachable.Store(true) // the reader has lost the store
		w.change(func() {
			w.instances = append(w.instances, model.Instance{ID: "e", Incarnation: 9, State: model.InstanceLive})
		})
		c["b"].ReportUnknownInstance()
		time.Sleep(unknownInstanceWait + 2*readerCheckInterval)
		synctest.Wait()
		_, known := c["b"].opts.Instances.Get("e")
		assert.Assert(t, known)
	})
}

// Guards against a first start of the system in which every instance reads the
// full store, and against one in which an instance gets no rules or upstreams.
func TestFirstStartReadsTheStoreOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := fakePeers{}
		for i, id := range []model.InstanceID{"a", "b", "c", "d", "e", "f"} {
			self := model.Instance{ID: id, Incarnation: uint64(i + 1), State: model.InstanceLive}
			c[id] = newMember(w, c, 3, self)
			c[id].opts.FirstStart = true
			c[id].readsStore.Store(false)
		}
		for _, m := range c {
			m.Start()
		}
		defer c.close()
		time.Sleep(4 * time.Second)
		synctest.Wait()
		for id, m := range c {
			assert.Assert(t, m.rulesTable.Current() != nil, "%s", id)
			assert.Equal(t, len(m.upstreams.Serving("s")), 2, "%s", id)
			if id != "a" {
				assert.Equal(t, m.store.calls.Load(), int32(0), "%s", id)
			}
			assert.Equal(t, m.store.listReads.Load() <= 2 || id == "a", true, "%s: %d", id, m.store.listReads.Load())
		}
	})
}

// Guards against a restarted instance that answers no caller's request for
// addresses until its own announcement is written.
func TestRestartedInstanceAnswersBeforeItsAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		w.instances = []model.Instance{{ID: "a", Incarnation: 8, State: model.InstanceLive}, {ID: "b", Incarnation: 2, State: model.InstanceLive}}
		c := fakePeers{}
		c["a"] = newMember(w, c, 2, model.Instance{ID: "a", Incarnation: 1, State: model.InstanceLive})
		defer c.close()
		c["a"].store.writesHang.Store(true)
		c["a"].Start()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		assert.Assert(t, c["a"].InstancesKnown())
		assert.Equal(t, len(c["a"].opts.Instances.All()), 2)
		c["a"].store.writesHang.Store(false)
		time.Sleep(announceTimeout + retryWait + 100*time.Millisecond)
		synctest.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Assert(t, w.instances[0].Incarnation >= 9, "%+v", w.instances)
	})
}

// listed reports whether the store has a row of the instance.
func (w *storeContent) listed(id model.InstanceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.instances, func(in model.Instance) bool { return in.ID == id })
}

// Guards against callers that get the address of a stopped instance, because its
// announcement took effect after its withdrawal or the withdrawal failed.
func TestStoppedInstanceHasNoRow(t *testing.T) {
	for name, stop := range map[string]func(m *member){
		"stops during its announcement": func(m *member) { m.Withdraw() },
		"stops while its announcement is repeated": func(m *member) {
			m.store.unreachable.Store(true)
			m.store.writesHang.Store(true)
			time.Sleep(announceTimeout)
			m.Withdraw()
			time.Sleep(time.Second)
			m.store.unreachable.Store(false)
			m.store.writesHang.Store(false)
		},
		"the store is out of reach for a second": func(m *member) {
			time.Sleep(2 * time.Second)
			m.store.unreachable.Store(true)
			m.Withdraw()
			time.Sleep(time.Second)
			m.store.unreachable.Store(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newStoreContent()
				c := startCell(t, w, "a")
				defer c.close()
				joining := newMember(w, c, 1, model.Instance{ID: "b", Incarnation: 1, State: model.InstanceLive})
				defer joining.pool.Close()
				joining.store.announceTime.Store(int64(time.Second))
				joining.Start()
				time.Sleep(300 * time.Millisecond)
				stop(joining)
				time.Sleep(5 * time.Second) // the rest of a planned stop
				synctest.Wait()
				assert.Assert(t, !w.listed("b"))
			})
		})
	}
}
