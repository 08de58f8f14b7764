package watch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Guards against an upstream without two watchers in its region, and against
// replacing watchers that are still alive when another instance dies.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var instances []model.Instance
		for i := range rapid.IntRange(4, 20).Draw(t, "instances") {
			instances = append(instances, model.Instance{
				ID: model.InstanceID(fmt.Sprint("i", i)), Region: fmt.Sprint(i % 2), State: model.InstanceLive,
			})
		}
		var upstreams []model.Upstream
		for i := range 30 {
			upstreams = append(upstreams, model.Upstream{ID: model.UpstreamID(fmt.Sprint("u", i)), Region: fmt.Sprint(i % 2)})
		}
		before := Assign(upstreams, instances)
		lost := rapid.IntRange(0, len(instances)-1).Draw(t, "lost")
		instances[lost].State = model.InstanceDead
		after := Assign(upstreams, instances)
		for i, a := range before {
			assert.Equal(t, len(a.Watchers), WatchersPerUpstream)
			for _, w := range a.Watchers {
				at := slices.IndexFunc(instances, func(in model.Instance) bool { return in.ID == w })
				assert.Equal(t, instances[at].Region, a.Upstream.Region)
			}
			if !slices.Contains(a.Watchers, instances[lost].ID) {
				assert.DeepEqual(t, a.Watchers, after[i].Watchers)
			}
			assert.Assert(t, !slices.Contains(after[i].Watchers, instances[lost].ID))
		}
	})
}

// fakes answers probes and collects what is published.
type fakes struct {
	health     atomic.Value  // upstream.Health; empty means no answer
	clockAhead time.Duration // offset of the engine's clock; zero means that it reports no time
	published  []upstream.Report
	wide       []bool
}

func (f *fakes) Probe(ctx context.Context, _ model.Upstream) (upstream.Report, error) {
	health := f.health.Load().(upstream.Health)
	if health == "" {
		<-ctx.Done()
		return upstream.Report{}, errors.New("no answer")
	}
	r := upstream.Report{Incarnation: 1, Health: health, Running: 1}
	if f.clockAhead != 0 {
		r.At = time.Now().Add(f.clockAhead)
	}
	return r, nil
}

func (f *fakes) PublishReport(r upstream.Report, wide bool) {
	f.published, f.wide = append(f.published, r), append(f.wide, wide)
}

func (f *fakes) WithdrawReport(model.UpstreamID) {}

// watch starts the only instance of a region, which watches the only upstream.
// known returns the last report on that upstream.
func (f *fakes) watch() (known func() upstream.Report, stop func()) {
	documents, instances, upstreams := document.NewTable(), instance.NewTable(), upstream.NewTable()
	u := model.Upstream{ID: "u", Region: "r"}
	documents.Apply(&model.Document{Generation: 1, Upstreams: []model.Upstream{u}})
	upstreams.Configure([]model.Upstream{u})
	instances.Merge(model.Instance{ID: "i", Region: "r", State: model.InstanceLive})
	pool := worker.NewPool(worker.Options{Workers: 2})
	NewManager(Options{Self: "i", Pool: pool, Documents: documents, Instances: instances, Upstreams: upstreams, Prober: f, Publisher: f}).Start()
	known = func() upstream.Report {
		row, _ := upstreams.Get("u")
		return row.Report
	}
	return known, pool.Close
}

// Guards against an upstream that is marked as down late or wrongly, and against a
// leaving upstream that is not published at once or becomes up again.
func TestHealthChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{}
		f.health.Store(upstream.HealthUp)
		known, stop := f.watch()
		defer stop()
		health := func() upstream.Health { return known().Health }
		wait := func(d time.Duration) { time.Sleep(d); synctest.Wait() }

		wait(startDelay + 3*time.Second)
		assert.Equal(t, health(), upstream.HealthUp)
		f.health.Store(upstream.Health(""))
		wait(1900 * time.Millisecond)
		assert.Equal(t, health(), upstream.HealthUp, "one failure is not enough")
		wait(2 * time.Second)
		assert.Equal(t, health(), upstream.HealthDown)
		f.health.Store(upstream.HealthUp)
		wait(startDelay + 3*time.Second)
		assert.Equal(t, health(), upstream.HealthUp)
		f.health.Store(upstream.HealthLeaving)
		wait(1100 * time.Millisecond)
		assert.Equal(t, health(), upstream.HealthLeaving)
		f.health.Store(upstream.HealthUp)
		wait(3 * time.Second)
		assert.Equal(t, health(), upstream.HealthLeaving, "leaving is final for an incarnation")
		for i := 1; i < len(f.published); i++ {
			assert.Assert(t, f.published[i].Sequence > f.published[i-1].Sequence)
		}
		assert.Assert(t, f.wide[0])
	})
}

// Guards against sequence numbers of two watchers that are equal or fall behind.
func TestSequencesOfTwoWatchersDiffer(t *testing.T) {
	now := time.UnixMilli(1000)
	first := nextSequence(0, 0, now)
	second := nextSequence(first, 1, now.Add(-time.Minute))
	assert.Assert(t, second > first && second&1 == 1)
	assert.Assert(t, nextSequence(second, 0, now) > second)
}

// Guards against a report whose time is later than that of its load figures: work
// sent in between would be counted neither in the figures nor as sent since.
func TestReportsAreNotNewerThanTheirLoad(t *testing.T) {
	for _, ahead := range []time.Duration{0, time.Hour, -400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakes{clockAhead: ahead}
			f.health.Store(upstream.HealthUp)
			known, stop := f.watch()
			defer stop()

			time.Sleep(startDelay + 5*time.Second)
			synctest.Wait()
			up := known()
			assert.Equal(t, up.Health, upstream.HealthUp)
			assert.Assert(t, !up.At.After(time.Now().Add(min(ahead, 0))))
			assert.Assert(t, time.Since(up.At) < 2*time.Second)
			f.health.Store(upstream.Health(""))
			time.Sleep(4 * time.Second)
			synctest.Wait()
			down := known()
			assert.Equal(t, down.Health, upstream.HealthDown)
			assert.Assert(t, time.Since(down.At) > 2*time.Second, "the load of a failed probe is the last known one")
		})
	}
}
