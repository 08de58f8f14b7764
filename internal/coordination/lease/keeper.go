package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxUnresolvedWrites bounds the tracked writes of unknown outcome. If a write that
// is no longer tracked takes effect late, the keeper treats it as a lease of another
// instance.
const maxUnresolvedWrites = 8

// Config configures a Keeper.
type Config struct {
	Name string // the row is leases/<Name>
	Self model.InstanceID
	Pool *worker.Pool
	Rows store.Rows[Record]
	// Candidates returns the live instances that may hold the lease. Nil or an
	// empty list means that only Self tries.
	Candidates func() []model.InstanceID
	Term       time.Duration // zero means DefaultTerm
}

// pendingWrite is a write of the lease row whose outcome is not known yet.
type pendingWrite struct {
	nonce     string
	fencing   uint64
	startedAt time.Time // before the write was sent; the term counts from here
}

// Keeper acquires, renews and releases one lease. Its fields below key are used only
// by worker items of that key; held and rank are also used by other goroutines.
type Keeper struct {
	cfg  Config
	held atomic.Pointer[term]
	rank atomic.Int64
	key  worker.Key

	rng              *rand.Rand
	running          bool
	callInFlight     bool
	timer            *worker.Timer
	row              store.Row[Record]
	revisionSeenAt   time.Time // when row.Revision was first seen; zero means never
	ownNonce         string    // nonce of this keeper's last write that took effect
	unresolvedWrites []pendingWrite
	heldMetric       heldMetric
}

// NewKeeper returns a Keeper that does nothing until Start.
func NewKeeper(cfg Config) *Keeper {
	if cfg.Term == 0 {
		cfg.Term = DefaultTerm
	}
	seed := xxhash.Sum64String(string(cfg.Self))
	return &Keeper{
		cfg: cfg,
		key: worker.Key("lease/" + cfg.Name),
		rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(cfg.Name))),
	}
}

// Start makes the keeper try to acquire and hold the lease. A call on a started
// keeper has no effect.
func (k *Keeper) Start() {
	k.cfg.Pool.Post(k.key, worker.Func(k.start))
}

// Stop ends the term at once and releases the lease. The keeper can be started again.
func (k *Keeper) Stop() {
	k.held.Store(nil)
	k.cfg.Pool.Post(k.key, worker.Func(k.stop))
}

// Held returns the fencing token if this instance holds the lease at the given time.
// A holder calls it right before each action, with a fresh reading of the clock.
func (k *Keeper) Held(now time.Time) (fencing uint64, ok bool) {
	fencing, _, ok = k.HeldUntil(now)
	return fencing, ok
}

// HeldUntil is like Held and also returns the time at which the holder must stop.
func (k *Keeper) HeldUntil(now time.Time) (fencing uint64, until time.Time, ok bool) {
	t := k.held.Load()
	if !t.covers(now) {
		return 0, time.Time{}, false
	}
	return t.fencing, t.until, true
}

// Rank returns the last computed position among the candidates.
func (k *Keeper) Rank() int {
	return int(k.rank.Load())
}

func (k *Keeper) start() {
	if k.running {
		return
	}
	k.running = true
	k.heldMetric.register(k)
	k.schedule(firstAttemptDelay(k.cfg.Term, k.updateRank(), k.rng))
}

func (k *Keeper) stop() {
	if !k.running {
		return
	}
	k.running = false
	k.heldMetric.unregister()
	k.timer.Stop()
	k.held.Store(nil)
	if !k.callInFlight && k.ownsRow() {
		k.release()
	}
}

// updateRank computes the rank from the present candidates.
func (k *Keeper) updateRank() int {
	var candidates []model.InstanceID
	if k.cfg.Candidates != nil {
		candidates = k.cfg.Candidates()
	}
	rank := Rank(k.cfg.Name, k.cfg.Self, candidates)
	k.rank.Store(int64(rank))
	return rank
}

func (k *Keeper) schedule(wait time.Duration) {
	k.timer.Stop()
	k.timer = k.cfg.Pool.After(wait, k.key, worker.Func(k.attempt))
}

// attempt renews the lease if this instance holds it, and otherwise reads the row.
func (k *Keeper) attempt() {
	if !k.running || k.callInFlight {
		return
	}
	fencing, ok := k.Held(time.Now())
	if ok && k.ownsRow() {
		k.write(fencing)
		return
	}
	k.read()
}

// ownsRow reports whether this keeper wrote the row's content that was last seen.
func (k *Keeper) ownsRow() bool {
	return k.row.Value.Holder == k.cfg.Self && k.ownNonce != "" && k.row.Value.Nonce == k.ownNonce
}

// callTimeout returns the bound on a store call.
func (k *Keeper) callTimeout() time.Duration {
	return time.Duration(float64(k.cfg.Term) * marginFraction)
}

func (k *Keeper) read() {
	k.callInFlight = true
	get := func(ctx context.Context) (store.Row[Record], error) {
		return k.cfg.Rows.Get(ctx, Key(k.cfg.Name))
	}
	worker.Call(k.cfg.Pool, k.key, k.callTimeout(), get, k.onRead)
}

func (k *Keeper) onRead(row store.Row[Record], err error) {
	k.callInFlight = false
	if !k.running {
		return
	}
	if errors.Is(err, store.ErrNotFound) {
		row, err = store.Row[Record]{Revision: store.NoRow}, nil
	}
	if err != nil {
		k.scheduleAfterFailure()
		return
	}
	k.recordRow(row)
	k.resolveWrites()
	k.decideAfterRead(time.Now())
}

// recordRow records the row and the time at which its revision was first seen: the
// time when the store's answer arrived. The holder wrote the row earlier, so its term
// ends at most one term after that time.
func (k *Keeper) recordRow(row store.Row[Record]) {
	if k.revisionSeenAt.IsZero() || row.Revision != k.row.Revision {
		k.revisionSeenAt = time.Now()
	}
	k.row = row
}

// resolveWrites starts the term of a write whose answer was lost, if the row shows
// that it took effect.
func (k *Keeper) resolveWrites() {
	for _, w := range k.unresolvedWrites {
		if k.row.Value.Holder == k.cfg.Self && k.row.Value.Nonce == w.nonce {
			k.startTerm(w)
			return
		}
	}
}

// startTerm starts the term of a write that took effect. All other unresolved writes
// expected an older revision and can no longer take effect.
func (k *Keeper) startTerm(w pendingWrite) {
	k.ownNonce = w.nonce
	k.unresolvedWrites = nil
	k.held.Store(&term{fencing: w.fencing, until: w.startedAt.Add(usableTerm(k.cfg.Term))})
}

// decideAfterRead schedules the renewal of a held lease, takes a lease that may be
// acquired, or schedules the next read of a lease that another instance holds.
func (k *Keeper) decideAfterRead(now time.Time) {
	fencing, held := k.Held(now)
	switch {
	case held && k.ownsRow():
		k.scheduleRenewal()
	case k.mayAcquire(now):
		k.write(k.row.Value.Fencing + 1)
	default:
		if held && fencing != k.row.Value.Fencing {
			k.held.Store(nil)
		}
		k.schedule(k.foreignReadDelay(now))
	}
}

// mayAcquire reports whether the lease may be taken: it was never held, was
// released, has an expired term of this keeper, or did not change for a full term.
func (k *Keeper) mayAcquire(now time.Time) bool {
	unclaimed := k.row.Value.Holder == ""
	return unclaimed || k.ownsRow() || now.Sub(k.revisionSeenAt) >= k.cfg.Term
}

// foreignReadDelay returns the delay before the next read of a lease that another
// instance holds. The first candidate reads at the end of the term at the latest.
func (k *Keeper) foreignReadDelay(now time.Time) time.Duration {
	rank := k.updateRank()
	wait := readDelay(k.cfg.Term, rank, k.rng)
	left := k.cfg.Term - now.Sub(k.revisionSeenAt)
	if rank == 0 && left > 0 {
		return min(wait, left)
	}
	return wait
}

// write tries to acquire or renew the lease under the fencing token.
func (k *Keeper) write(fencing uint64) {
	k.callInFlight = true
	w := pendingWrite{nonce: uuid.NewString(), fencing: fencing, startedAt: time.Now()}
	k.addUnresolved(w)
	record := Record{Holder: k.cfg.Self, Nonce: w.nonce, Fencing: fencing, Expires: w.startedAt.Add(k.cfg.Term)}
	expected := k.row.Revision
	put := func(ctx context.Context) (store.Revision, error) {
		return k.cfg.Rows.Put(ctx, Key(k.cfg.Name), record, expected)
	}
	worker.Call(k.cfg.Pool, k.key, k.callTimeout(), put, func(revision store.Revision, err error) {
		k.onWrite(w, record, revision, err)
	})
}

// addUnresolved tracks a write until its outcome is known, and drops the oldest one
// beyond maxUnresolvedWrites.
func (k *Keeper) addUnresolved(w pendingWrite) {
	if len(k.unresolvedWrites) == maxUnresolvedWrites {
		k.unresolvedWrites = k.unresolvedWrites[1:]
	}
	k.unresolvedWrites = append(k.unresolvedWrites, w)
}

func (k *Keeper) onWrite(w pendingWrite, record Record, revision store.Revision, err error) {
	k.callInFlight = false
	if err == nil {
		k.recordRow(store.Row[Record]{Key: Key(k.cfg.Name), Value: record, Revision: revision})
		k.startTerm(w)
	}
	switch {
	case !k.running:
		k.held.Store(nil)
		if err == nil {
			k.release()
		}
	case err == nil:
		k.scheduleRenewal()
	case errors.Is(err, store.ErrUnavailable):
		k.unresolvedWrites = k.unresolvedWrites[:len(k.unresolvedWrites)-1]
		k.scheduleAfterFailure()
	default:
		// A conflict, a lost answer or a timeout. Reading the row shows whether the
		// write took effect.
		k.read()
	}
}

func (k *Keeper) scheduleRenewal() {
	k.schedule(time.Duration(float64(k.cfg.Term) * renewFraction))
}

// scheduleAfterFailure schedules the next attempt after the store could not be reached.
func (k *Keeper) scheduleAfterFailure() {
	if k.ownsRow() {
		k.schedule(retryDelay(k.cfg.Term, k.rng))
		return
	}
	k.schedule(readDelay(k.cfg.Term, k.updateRank(), k.rng))
}

// release writes the row with an empty holder and the same fencing token. If it
// fails, the next holder has to wait for the end of the term.
func (k *Keeper) release() {
	k.callInFlight = true
	record := Record{Nonce: uuid.NewString(), Fencing: k.row.Value.Fencing}
	expected := k.row.Revision
	put := func(ctx context.Context) (store.Revision, error) {
		return k.cfg.Rows.Put(ctx, Key(k.cfg.Name), record, expected)
	}
	worker.Call(k.cfg.Pool, k.key, k.callTimeout(), put, func(store.Revision, error) { k.onReleased() })
}

func (k *Keeper) onReleased() {
	k.callInFlight = false
	k.ownNonce = ""
	k.revisionSeenAt = time.Time{}
	if k.running {
		k.schedule(retryDelay(k.cfg.Term, k.rng))
	}
}
