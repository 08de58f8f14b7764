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

// maxUnresolved bounds the writes of unknown outcome that are remembered. A
// forgotten write that lands late is treated as a foreign lease.
const maxUnresolved = 8

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

// write is a write whose outcome is not known yet.
type write struct {
	nonce   string
	fencing uint64
	started time.Time
}

// Keeper acquires, renews and releases one lease. Its fields below key are
// used only by items of that key; held and rank are read by other items.
type Keeper struct {
	cfg  Config
	held atomic.Pointer[term]
	rank atomic.Int64
	key  worker.Key

	rng        *rand.Rand
	wanted     bool
	busy       bool // a store call is under way
	timer      *worker.Timer
	row        store.Keyed[Record]
	seenAt     time.Time // when row.Revision was first seen; zero means never
	nonce      string    // nonce of the last own write that took effect
	unresolved []write
	observed   observation
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

// Start makes the keeper try to hold the lease. It may be called again.
func (k *Keeper) Start() {
	k.cfg.Pool.Post(k.key, worker.Func(k.start))
}

// Stop ends the term at once and releases the row. Start may follow.
func (k *Keeper) Stop() {
	k.held.Store(nil)
	k.cfg.Pool.Post(k.key, worker.Func(k.stop))
}

// Held returns the fencing number if the term covers now. It is called right
// before each action of a holder, with a fresh reading of the clock.
func (k *Keeper) Held(now time.Time) (fencing uint64, ok bool) {
	fencing, _, ok = k.Term(now)
	return fencing, ok
}

// Term is Held with the time at which the holder stops.
func (k *Keeper) Term(now time.Time) (fencing uint64, until time.Time, ok bool) {
	t := k.held.Load()
	if !t.covers(now) {
		return 0, time.Time{}, false
	}
	return t.fencing, t.until, true
}

// Rank returns the last known place among the candidates.
func (k *Keeper) Rank() int {
	return int(k.rank.Load())
}

func (k *Keeper) start() {
	if k.wanted {
		return
	}
	k.wanted = true
	k.observed.begin(k)
	k.schedule(firstWait(k.cfg.Term, k.updateRank(), k.rng))
}

func (k *Keeper) stop() {
	if !k.wanted {
		return
	}
	k.wanted = false
	k.observed.end()
	k.timer.Stop()
	k.held.Store(nil)
	if !k.busy && k.ownsRow() {
		k.release()
	}
}

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

// attempt renews a running term and otherwise reads the row.
func (k *Keeper) attempt() {
	if !k.wanted || k.busy {
		return
	}
	fencing, ok := k.Held(time.Now())
	if ok && k.ownsRow() {
		k.write(fencing)
		return
	}
	k.read()
}

// ownsRow reports whether this process wrote the last seen content.
func (k *Keeper) ownsRow() bool {
	return k.row.Value.Holder == k.cfg.Self && k.nonce != "" && k.row.Value.Nonce == k.nonce
}

func (k *Keeper) callTimeout() time.Duration {
	return time.Duration(float64(k.cfg.Term) * marginFraction)
}

func (k *Keeper) read() {
	k.busy = true
	get := func(ctx context.Context) (store.Keyed[Record], error) {
		return k.cfg.Rows.Get(ctx, Key(k.cfg.Name))
	}
	worker.Call(k.cfg.Pool, k.key, k.callTimeout(), get, k.onRead)
}

func (k *Keeper) onRead(row store.Keyed[Record], err error) {
	k.busy = false
	if !k.wanted {
		return
	}
	if errors.Is(err, store.ErrNotFound) {
		row, err = store.Keyed[Record]{Revision: store.NoRow}, nil
	}
	if err != nil {
		k.scheduleAfterFailure()
		return
	}
	k.note(row)
	k.resolve()
	k.follow(time.Now())
}

// note remembers the row and when its revision was first seen. The time of
// the answer is used, because the write came before it.
func (k *Keeper) note(row store.Keyed[Record]) {
	if k.seenAt.IsZero() || row.Revision != k.row.Revision {
		k.seenAt = time.Now()
	}
	k.row = row
}

// resolve adopts an own write whose answer was lost and which is now seen in
// the row.
func (k *Keeper) resolve() {
	for _, w := range k.unresolved {
		if k.row.Value.Holder == k.cfg.Self && k.row.Value.Nonce == w.nonce {
			k.adopt(w)
			return
		}
	}
}

// adopt starts the term of a write that took effect. Older writes expected an
// older revision and can no longer take effect.
func (k *Keeper) adopt(w write) {
	k.nonce = w.nonce
	k.unresolved = nil
	k.held.Store(&term{fencing: w.fencing, until: w.started.Add(usable(k.cfg.Term))})
}

// follow decides after a read.
func (k *Keeper) follow(now time.Time) {
	fencing, held := k.Held(now)
	switch {
	case held && k.ownsRow():
		k.scheduleRenewal()
	case k.free(now):
		k.write(k.row.Value.Fencing + 1)
	default:
		if held && fencing != k.row.Value.Fencing {
			k.held.Store(nil)
		}
		k.schedule(k.foreignWait(now))
	}
}

// free reports whether the lease may be taken: it was never held, was
// released, is a lapsed term of this process, or did not change for a term.
func (k *Keeper) free(now time.Time) bool {
	unclaimed := k.row.Value.Holder == ""
	return unclaimed || k.ownsRow() || now.Sub(k.seenAt) >= k.cfg.Term
}

// foreignWait waits for the next read, and no longer than the end of the term
// for the first candidate.
func (k *Keeper) foreignWait(now time.Time) time.Duration {
	rank := k.updateRank()
	wait := readWait(k.cfg.Term, rank, k.rng)
	left := k.cfg.Term - now.Sub(k.seenAt)
	if rank == 0 && left > 0 {
		return min(wait, left)
	}
	return wait
}

func (k *Keeper) write(fencing uint64) {
	k.busy = true
	w := write{nonce: uuid.NewString(), fencing: fencing, started: time.Now()}
	k.remember(w)
	record := Record{Holder: k.cfg.Self, Nonce: w.nonce, Fencing: fencing, Expires: w.started.Add(k.cfg.Term)}
	expected := k.row.Revision
	put := func(ctx context.Context) (store.Revision, error) {
		return k.cfg.Rows.Put(ctx, Key(k.cfg.Name), record, expected)
	}
	worker.Call(k.cfg.Pool, k.key, k.callTimeout(), put, func(revision store.Revision, err error) {
		k.onWrite(w, record, revision, err)
	})
}

func (k *Keeper) remember(w write) {
	if len(k.unresolved) == maxUnresolved {
		k.unresolved = k.unresolved[1:]
	}
	k.unresolved = append(k.unresolved, w)
}

func (k *Keeper) onWrite(w write, record Record, revision store.Revision, err error) {
	k.busy = false
	if err == nil {
		k.note(store.Keyed[Record]{Key: Key(k.cfg.Name), Value: record, Revision: revision})
		k.adopt(w)
	}
	switch {
	case !k.wanted:
		k.held.Store(nil)
		if err == nil {
			k.release()
		}
	case err == nil:
		k.scheduleRenewal()
	case errors.Is(err, store.ErrUnavailable):
		k.unresolved = k.unresolved[:len(k.unresolved)-1]
		k.scheduleAfterFailure()
	default:
		// Conflict, lost answer or timeout: the row tells which.
		k.read()
	}
}

func (k *Keeper) scheduleRenewal() {
	k.schedule(time.Duration(float64(k.cfg.Term) * renewFraction))
}

func (k *Keeper) scheduleAfterFailure() {
	if k.ownsRow() {
		k.schedule(retryWait(k.cfg.Term, k.rng))
		return
	}
	k.schedule(readWait(k.cfg.Term, k.updateRank(), k.rng))
}

// release clears the holder and keeps the fencing number. A failed release
// only delays the next holder by one term.
func (k *Keeper) release() {
	k.busy = true
	record := Record{Nonce: uuid.NewString(), Fencing: k.row.Value.Fencing}
	expected := k.row.Revision
	put := func(ctx context.Context) (store.Revision, error) {
		return k.cfg.Rows.Put(ctx, Key(k.cfg.Name), record, expected)
	}
	worker.Call(k.cfg.Pool, k.key, k.callTimeout(), put, func(store.Revision, error) { k.onReleased() })
}

func (k *Keeper) onReleased() {
	k.busy = false
	k.nonce = ""
	k.seenAt = time.Time{}
	if k.wanted {
		k.schedule(retryWait(k.cfg.Term, k.rng))
	}
}
