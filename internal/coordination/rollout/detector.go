package rollout

import (
	"fmt"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
)

const (
	detectorKey = worker.Key("rollout/detector")
	// maxDetectorRoutes bounds the routes that are kept for one move. Results
	// of further routes share one entry.
	maxDetectorRoutes = 64
)

// Detector stops a version on hard evidence of this instance alone. It needs
// neither the table service nor a peer. Its maps are used only by items of
// detectorKey; there is one entry for each model or service.
type Detector struct {
	self   model.InstanceID
	pool   *worker.Pool
	stops  *stop.Table
	onStop func(model.Stop)
	moves  map[string]*localMove
	added  stopCounter
}

// localMove holds the results of one move at this instance.
type localMove struct {
	target string
	epoch  uint64
	old    Rate
	routes map[string]*Results
}

// NewDetector returns a detector that adds its stops to the table and passes
// them to onStop, which may be nil.
func NewDetector(self model.InstanceID, pool *worker.Pool, stops *stop.Table, onStop func(model.Stop)) *Detector {
	return &Detector{
		self: self, pool: pool, stops: stops, onStop: onStop,
		moves: map[string]*localMove{},
		added: newStopCounter(evidenceOwn),
	}
}

// Observe takes the result of one request into account. Callers leave out
// failures that a suspect request or the caller itself explains.
func (d *Detector) Observe(key model.VersionKey, route string, failed bool) {
	d.pool.Post(detectorKey, worker.Func(func() { d.observe(key, route, failed) }))
}

func (d *Detector) observe(key model.VersionKey, route string, failed bool) {
	share, ok := d.stops.Share(key.Serves)
	if !ok || settled(share) {
		delete(d.moves, key.Serves)
		return
	}
	move := d.move(share)
	switch key.Version {
	case share.Previous:
		move.old.Add(failed)
	case share.Target:
		results := move.results(route)
		results.Add(failed)
		if failed && Hard(*results, move.old, lifts(share.Epoch)) {
			d.stop(key, share.Epoch, route)
		}
	}
}

// move returns the local state, which begins anew with each epoch; the old
// version's rate stays while the target does.
func (d *Detector) move(share model.Share) *localMove {
	move, ok := d.moves[share.Serves]
	if !ok || move.target != share.Target {
		move = &localMove{target: share.Target, epoch: share.Epoch, routes: map[string]*Results{}}
		d.moves[share.Serves] = move
	}
	if move.epoch != share.Epoch {
		move.epoch = share.Epoch
		move.routes = map[string]*Results{}
	}
	return move
}

func (m *localMove) results(route string) *Results {
	if _, ok := m.routes[route]; !ok && len(m.routes) >= maxDetectorRoutes {
		route = otherRoutes
	}
	r, ok := m.routes[route]
	if !ok {
		r = &Results{}
		m.routes[route] = r
	}
	return r
}

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
	d.added.count(evidenceOwn)
	if d.onStop != nil {
		d.onStop(s)
	}
}
