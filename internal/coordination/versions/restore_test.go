package versions

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// restore puts a store back to an earlier record under a new era.
func (f *fakeRecords) restore(record Record, era model.Era) {
	f.set(func() { f.record, f.era = record, era })
}

func orderIn(era model.Era, revision uint64, target string) []model.VersionOrder {
	return []model.VersionOrder{{Service: "s", Target: target, Era: era, Revision: revision, Within: within}}
}

// Guards against a record that a restored store lacks, or has at an earlier step, and against
// a move that begins again because the operator writes its order again.
func TestRecordIsWrittenAgainAfterARestore(t *testing.T) {
	for name, state := range map[string]model.MoveState{"open": model.MoveOpen, "finished": model.MoveFinished, "taken back": model.MoveTakenBack} {
		for _, kept := range []string{"nothing", "an earlier step"} {
			for _, rewritten := range []uint64{9, 4, 0} { // revision of the order after the restore; 9: the copy has it, 0: it is lost
				t.Run(name+", the copy has "+kept, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						records := &fakeRecords{startedAt: time.Now(), era: 1}
						j := startJudge(t, records)
						j.AddOrders(orderIn(1, 9, "v2"))
						synctest.Wait()
						time.Sleep(time.Second)
						copied := Record{}
						if kept != "nothing" {
							records.set(func() { copied = records.record })
						}
						switch state {
						case model.MoveFinished:
							j.serve(within, 0)
						case model.MoveTakenBack:
							j.serve(within/2, 1)
						default:
							j.serve(within/3, 0)
						}
						before, _, _ := j.moves.Get("s")
						assert.Equal(t, before.State, state)
						records.restore(copied, 2)
						j.StoreRestored(2)
						if rewritten > 0 {
							j.AddOrders(orderIn(2, rewritten, "v2"))
						}
						time.Sleep(3 * time.Second)
						synctest.Wait()
						now, _, _ := j.moves.Get("s")
						assert.Equal(t, now.State, state)
						assert.Assert(t, now.Step >= before.Step)
						stored := records.state()
						assert.Equal(t, stored.State, state)
						assert.Assert(t, stored.Step >= before.Step, "stored step %d, before %d", stored.Step, before.Step)
						assert.Equal(t, stored.Target, "v2")
						assert.Assert(t, !stored.After(now.VersionOrder))
						if rewritten > 0 {
							j.AddOrders(orderIn(2, rewritten, "v2")) // read again
						}
						writes := records.record.Revision
						if state != model.MoveOpen {
							time.Sleep(5 * time.Second)
							assert.Equal(t, records.record.Revision, writes, "the record is written more than once")
						}
					})
				})
			}
		}
	}
}

// Guards against a move to an earlier target that a restored store orders again, and against
// new orders that are ignored because revisions have gone back.
func TestOrdersAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := &fakeRecords{startedAt: time.Now(), era: 1}
		j := startJudge(t, records)
		j.AddOrders(orderIn(1, 5, "v2"))
		j.serve(within, 0)
		j.AddOrders(orderIn(1, 9, "v3"))
		time.Sleep(3 * time.Second)
		inForce := func() model.VersionMove {
			synctest.Wait()
			m, _, _ := j.moves.Get("s")
			return m
		}
		assert.Equal(t, inForce().Target, "v3")
		records.restore(Record{}, 2)
		j.StoreRestored(2)
		j.AddOrders(orderIn(2, 5, "v2")) // the copy still has the earlier order
		time.Sleep(3 * time.Second)
		assert.Equal(t, inForce().Target, "v3")
		j.AddOrders(orderIn(2, 7, "v3")) // written again by the operator
		step := inForce().Step
		assert.Assert(t, step > 0)
		j.AddOrders(orderIn(2, 8, "v4"))
		time.Sleep(3 * time.Second)
		assert.Equal(t, inForce().Target, "v4")
		assert.Equal(t, records.state().Target, "v4")
	})
}

// Guards against a record from before a restore that arrives late and counts.
func TestRecordOfAnOlderEraChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := &fakeRecords{startedAt: time.Now(), era: 1}
		j := startJudge(t, records)
		j.StoreRestored(2)
		late := model.VersionMove{VersionOrder: orderIn(2, 3, "v2")[0], State: model.MoveFinished, Share: 1, Step: 7}
		records.restore(Record{Move: late, Revision: 40}, 1)
		j.AddOrders(orderIn(2, 3, "v2"))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		m, _, _ := j.moves.Get("s")
		assert.Equal(t, m.State, model.MoveOpen)
		assert.Equal(t, m.Share, 0.0)
	})
}

// Guards against a move that begins again, or that no longer follows its judge, because
// instances of an earlier build name its order without an era.
func TestOrderWithoutAnEraIsTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := &fakeRecords{startedAt: time.Now(), era: 1}
		j := startJudge(t, records)
		j.judges.Store(false)
		finished := model.VersionMove{VersionOrder: orderIn(0, 9, "v2")[0], State: model.MoveFinished, Share: 1, Step: 7}
		earlier := finished
		earlier.State, earlier.Step, earlier.Share = model.MoveOpen, 2, 0.1
		assert.Assert(t, j.moves.Apply(earlier, time.Now()))
		j.AddOrders(orderIn(1, 9, "v2"))
		synctest.Wait()
		m, _, _ := j.moves.Get("s")
		assert.Equal(t, m.Step, uint64(2))
		assert.Assert(t, j.moves.Apply(finished, time.Now()), "a later step without an era")
		j.AddOrders(orderIn(1, 9, "v2"))
		synctest.Wait()
		m, _, _ = j.moves.Get("s")
		assert.Equal(t, m.State, model.MoveFinished)
		j.AddOrders(orderIn(1, 12, "v2")) // a new order
		synctest.Wait()
		m, _, _ = j.moves.Get("s")
		assert.Equal(t, m.State, model.MoveOpen)
	})
}
