package rollout

import (
	"fmt"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
)

const (
	detectorKey = worker.Key("rollout/detector")
	// maxDetectorRoutes bounds the routes tracked for one move. Results of
	// further routes share one entry.
	maxDetectorRoutes = 64
)

// Detector stops a version on the hard evidence of this instance alone, without
// the table service or a peer. Its maps have one entry for each model or service
// and are used only by worker items of detectorKey.
type Detector struct {
	self       model.InstanceID
	pool       *worker.Pool
	stops      *stop.Table
	onStop     func(model.Stop)
	moves      map[string]*localMove
	addedStops stopCounter
}

// localMove holds the results of one move at this instance.
type localMove struct {
	target  string
	epoch   uint64
	oldRate FailureRate
	routes  map[string]*ResultWindow
}

// NewDetector returns a detector that adds its stops to the table and passes
// them to onStop, which may be nil.
func NewDetector(self model.InstanceID, pool *worker.Pool, stops *stop.Table, onStop func(model.Stop)) *Detector {
	return &Detector{
		self: self, pool: pool, stops: stops, onStop: onStop,
		moves:      map[string]*localMove{},
		addedStops: newStopCounter(evidenceOwn),
	}
}

// Observe adds the result of one request. Callers leave out failures that are
// attributed to a suspect request or to the client.
func (d *Detector) Observe(key model.VersionKey, route string, failed bool) {
	d.pool.Post(detectorKey, worker.Func(func() { d.observe(key, route, failed) }))
}

func (d *Detector) observe(key model.VersionKey, route string, failed bool) {
	share, ok := d.stops.Share(key.Serves)
	if !ok || isFinalShare(share) {
		delete(d.moves, key.Serves)
		return
	}
	move := d.move(share)
	switch key.Version {
	case share.Previous:
		move.oldRate.Add(failed)
	case share.Target:
		results := move.results(route)
		results.Add(failed)
		if failed && HardEvidence(*results, move.oldRate, liftedStops(share.Epoch)) {
			d.stop(key, share.Epoch, route)
		}
	}
}

// move returns the local state of the share's move. The target's results are
// reset with each epoch; the old version's rate is kept as long as the target
// is the same.
func (d *Detector) move(share model.Share) *localMove {
	move, ok := d.moves[share.Serves]
	if !ok || move.target != share.Target {
		move = &localMove{target: share.Target, epoch: share.Epoch, routes: map[string]*ResultWindow{}}
		d.moves[share.Serves] = move
	}
	if move.epoch != share.Epoch {
		move.epoch = share.Epoch
		move.routes = map[string]*ResultWindow{}
	}
	return move
}

// results returns the entry of a route, or the shared one beyond
// maxDetectorRoutes.
func (m *localMove) results(route string) *ResultWindow {
	if _, ok := m.routes[route]; !ok && len(m.routes) >= maxDetectorRoutes {
		route = otherRoutes
	}
	r, ok := m.routes[route]
	if !ok {
		r = &ResultWindow{}
		m.routes[route] = r
	}
	return r
}

// stop adds a stop and passes it to onStop unless the table had it already.
func (d *Detector) stop(key model.VersionKey, epoch uint64, route string) {
	s := model.Stop{
		Key:    key,
		Epoch:  epoch,
		Reason: fmt.Sprintf("hard evidence on route %q", route),
		By:     d.self,
	}
	if !d.stops.Add(s) {
		return
	}
	d.addedStops.count(evidenceOwn)
	if d.onStop != nil {
		d.onStop(s)
	}
}
