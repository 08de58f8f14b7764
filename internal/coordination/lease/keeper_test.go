package lease_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/lease"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store/storetest"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// TestMain fixes the seed unless the command line or RAPID_SEED names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// fleet is a set of instances that compete for one lease.
type fleet struct {
	pools   []*worker.Pool
	keepers []*lease.Keeper
}

func newFleet(n int, rows *storetest.Rows[lease.Record]) *fleet {
	ids := make([]model.InstanceID, n)
	for i := range ids {
		ids[i] = model.InstanceID(fmt.Sprintf("i%03d", i))
	}
	f := &fleet{}
	for _, id := range ids {
		pool := worker.NewPool(worker.Options{Workers: 1})
		f.pools = append(f.pools, pool)
		f.keepers = append(f.keepers, lease.NewKeeper(lease.Config{
			Name: "moves/m", Self: id, Pool: pool, Rows: rows,
			Candidates: func() []model.InstanceID { return ids },
		}))
	}
	return f
}

func (f *fleet) start() {
	for _, k := range f.keepers {
		k.Start()
	}
}

func (f *fleet) close() {
	for _, p := range f.pools {
		p.Close()
	}
}

// pause blocks the only worker of an instance, like a suspended process. Store calls
// in flight still take effect.
func (f *fleet) pause(i int, d time.Duration) {
	f.pools[i].Post("pause", worker.Func(func() { time.Sleep(d) }))
}

func (f *fleet) holders(now time.Time) (ids []int, fencing uint64) {
	for i, k := range f.keepers {
		if n, ok := k.Held(now); ok {
			ids, fencing = append(ids, i), n
		}
	}
	return ids, fencing
}

// checkWrite checks each write of the lease row: it keeps holder and fencing token,
// has a holder and raises the token by 1, or releases the lease.
func checkWrite(t assert.TestingT) func(string, lease.Record, lease.Record) {
	return func(_ string, old, next lease.Record) {
		renewed := next.Holder == old.Holder && next.Fencing == old.Fencing
		taken := next.Holder != "" && next.Fencing == old.Fencing+1
		released := next.Holder == "" && next.Fencing == old.Fencing
		assert.Check(t, renewed || taken || released, "%+v followed by %+v", old, next)
	}
}

type event struct {
	at, length time.Duration
	kind       string
	holder     int
}

func drawEvents(t *rapid.T, n int) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			at:     time.Duration(rapid.IntRange(0, 120_000).Draw(t, "at")) * time.Millisecond,
			length: time.Duration(rapid.OneOf(rapid.IntRange(5_000, 12_000), rapid.IntRange(100, 30_000)).Draw(t, "length")) * time.Millisecond,
			kind:   rapid.SampledFrom([]string{"pause", "write", "write", "down", "slow", "lose", "stop"}).Draw(t, "kind"),
			holder: rapid.IntRange(0, n-1).Draw(t, "holder"),
		}
	}), 2, 16).Draw(t, "events")
}

// faults returns the store's faults that the events cause at the present time.
func faults(start time.Time, events []event) func(string) storetest.Fault {
	return func(string) storetest.Fault {
		var fault storetest.Fault
		for _, e := range events {
			since := time.Since(start) - e.at
			if since < 0 || since > e.length {
				continue
			}
			fault.Down = fault.Down || e.kind == "down"
			fault.LoseAnswer = fault.LoseAnswer || e.kind == "lose"
			if e.kind == "slow" {
				fault.Delay = e.length / 4
			}
		}
		return fault
	}
}

// Guards against two holders at the same time, a fencing token that is reused by
// another holder, and a lease that no instance takes again after the faults end.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(rt, "keepers")
		events := drawEvents(rt, n)
		rapid.SyncTest(rt, func(rt *rapid.T) {
			rows := storetest.New[lease.Record]()
			start := time.Now()
			rows.Fault = faults(start, events)
			f := newFleet(n, rows)
			defer f.close()
			check := checkWrite(rt)
			fired := make([]bool, len(events))
			rows.OnPut = func(key string, old, next lease.Record) {
				check(key, old, next)
				f.pauseWriter(start, events, next)
			}
			f.start()
			lastFencing, lastHolder := uint64(0), -1
			for time.Since(start) < 240*time.Second {
				for i, e := range events {
					if !fired[i] && time.Since(start) >= e.at {
						fired[i] = true
						applyEvent(f, e)
					}
				}
				ids, fencing := f.holders(time.Now())
				if len(ids) > 1 {
					rt.Fatalf("holders %v at %v", ids, time.Since(start))
				}
				if len(ids) == 1 {
					if fencing < lastFencing || fencing == lastFencing && ids[0] != lastHolder {
						rt.Fatalf("holder %d acts under %d after holder %d under %d", ids[0], fencing, lastHolder, lastFencing)
					}
					lastFencing, lastHolder = fencing, ids[0]
				}
				time.Sleep(100 * time.Millisecond)
			}
			if ids, _ := f.holders(time.Now()); len(ids) != 1 {
				rt.Fatalf("no holder after the faults ended")
			}
		})
	})
}

// pauseWriter pauses an instance between its write and the answer to it, during a
// write event.
func (f *fleet) pauseWriter(start time.Time, events []event, record lease.Record) {
	for _, e := range events {
		since := time.Since(start) - e.at
		if e.kind == "write" && since >= 0 && since < e.length && record.Holder != "" {
			i, _ := strconv.Atoi(string(record.Holder[1:]))
			f.pause(i, e.length)
			return
		}
	}
}

func applyEvent(f *fleet, e event) {
	switch e.kind {
	case "pause":
		f.pause(e.holder, e.length)
	case "stop":
		f.keepers[e.holder].Stop()
		f.keepers[e.holder].Start()
	}
}

// Guards against a holder that still acts after a pause in which its term ended.
// Either clock alone, the monotonic or the wall clock, must show the end.
func TestPausedHolderDetectsExpiredTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, storetest.New[lease.Record]())
		defer f.close()
		f.start()
		time.Sleep(2 * time.Second)
		now := time.Now()
		fencing, ok := f.keepers[0].Held(now)
		assert.Assert(t, ok && fencing == 1)
		_, ok = f.keepers[0].Held(now.Add(8 * time.Second))
		assert.Assert(t, !ok, "the monotonic clock passed the end")
		_, ok = f.keepers[0].Held(now.Round(0).Add(8 * time.Second))
		assert.Assert(t, !ok, "the wall clock passed the end")
	})
}

// Guards against too many lease reads and writes by 640 instances, and against a
// paused holder that is replaced only after 25 s or more.
func TestLargeFleetSpreadsItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 60
		rows := storetest.New[lease.Record]()
		f := newFleet(640, rows)
		defer f.close()
		f.start()
		time.Sleep(seconds * time.Second)
		reads, writes := rows.Calls()
		t.Logf("640 keepers: %.2f reads/s, %.2f writes/s", float64(reads)/seconds, float64(writes)/seconds)
		assert.Assert(t, reads < 10*seconds && writes < seconds)
		ids, _ := f.holders(time.Now())
		assert.Assert(t, len(ids) == 1)
		f.pause(ids[0], time.Hour)
		pausedAt := time.Now()
		for {
			time.Sleep(100 * time.Millisecond)
			if next, _ := f.holders(time.Now()); len(next) == 1 && next[0] != ids[0] {
				break
			}
			assert.Assert(t, time.Since(pausedAt) < 25*time.Second)
		}
		t.Logf("change of holder after %v", time.Since(pausedAt))
	})
}
