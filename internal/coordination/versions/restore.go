package versions

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// After a restore of the store from an older copy, the records of moves may be missing or
// show an earlier step, and orders are written again by the operator under other revisions.
// The judge writes what is in force again, and an order that was given before the restore
// goes on where it was.

// rewriteSpread is the time over which the judge begins to write each record again. Few
// services have moves.
const rewriteSpread = 50 * time.Millisecond

// maxEarlierOrders is the number of replaced orders of a service that are remembered.
const maxEarlierOrders = 16

var errOlderEra = errors.New("the answer is from before the restore of the store")

// orders are orders of one service, oldest first.
type orders []model.VersionOrder

// with returns the orders and one more.
func (s orders) with(o model.VersionOrder) orders {
	if o.Revision == 0 {
		return s
	}
	return append(slices.Clone(s[max(0, len(s)+1-maxEarlierOrders):]), o)
}

// has reports whether the row of the order, which a restored store shows in a new era, is
// that of one of these orders.
func (s orders) has(o model.VersionOrder) bool {
	return slices.ContainsFunc(s, func(earlier model.VersionOrder) bool { return isKept(o, earlier) })
}

// isKept reports whether a restored store shows the row of the earlier order.
func isKept(o, earlier model.VersionOrder) bool {
	return o.Era >= earlier.Era && o.Revision == earlier.Revision && o.Demands(earlier)
}

// restoredOrder says what an order is that is first seen in a new era.
type restoredOrder int

const (
	orderNew      restoredOrder = iota
	orderKnown                  // the last order, which the store kept or the operator wrote again
	orderReplaced               // one that the last order had replaced
)

// compareRestored compares an order that is first seen in a new era with the last one that
// was known before and with those that it had replaced. A last one without an era is of an
// earlier build or of a store without eras, and no restore is known between the two.
func compareRestored(o, last model.VersionOrder, earlier orders) restoredOrder {
	switch {
	case isKept(o, last):
		return orderKnown
	case earlier.has(o):
		return orderReplaced
	case last.Era == 0 && !o.After(last):
		return orderReplaced
	case last.Era > 0 && o.Demands(last):
		return orderKnown
	default:
		return orderNew
	}
}

// StoreRestored has the judge write the records of moves again. It may be called from any
// goroutine.
func (m *Manager) StoreRestored(era model.Era) {
	m.opts.Moves.StoreRestored()
	m.opts.Pool.Post(managerKey, worker.Func(func() {
		m.restoredEra = max(m.restoredEra, era)
		for _, mv := range m.movers {
			mv.storedKnown, mv.rewrite = false, true
			mv.notBefore = time.Now().Add(time.Duration(rand.Float64() * float64(len(m.movers)) * float64(rewriteSpread)))
		}
	}))
}

// checkEra returns an error for a record that was read or written before the last restore.
func (m *Manager) checkEra(got Record) error {
	if got.Era > 0 && got.Era < m.restoredEra {
		return errOlderEra
	}
	return nil
}

// adoptOrder continues the move of the last order under the order as the store has it now.
func (m *Manager) adoptOrder(o, last model.VersionOrder) {
	mv := m.movers[o.Service]
	if mv == nil {
		mv = &mover{manager: m}
		m.movers[o.Service] = mv
	}
	mv.order, mv.storedKnown, mv.rewrite = o, false, true
	if mv.analysis != nil && o.Revision != last.Revision {
		mv.analysis.lastTotals = nil // counts belong to a revision and begin again
	}
	m.opts.Log.WithField("service", o.Service).WithField("target", o.Target).WithField("revision", o.Revision).
		WithField("era", o.Era.Number()).Info("version order is known from before the restore of the store")
	if current, _, inForce := m.opts.Moves.Get(o.Service); inForce && current.Is(last) {
		current.VersionOrder = o
		m.apply(current)
	}
}

// earlierOrders returns the orders that the mover's order has replaced; nil without a mover.
func (mv *mover) earlierOrders() orders {
	if mv == nil {
		return nil
	}
	return mv.earlier
}

// keptOrder returns the order of a record. A record of the mover's order that a restored
// store has kept may name it by its earlier era.
func (mv *mover) keptOrder(o model.VersionOrder) model.VersionOrder {
	if isKept(mv.order, o) {
		return mv.order
	}
	return o
}

// isBehind reports whether the stored record is not the one in force.
func (mv *mover) isBehind(current model.VersionMove) bool {
	stored := mv.stored.Move
	known := mv.stored.Revision > 0 && stored.Is(current.VersionOrder) && stored.State == current.State && stored.Step >= current.Step
	return current.Step > stepOrdered && !known
}
