package environment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const environment = "trial"

func promotion(id string, seen uint64) Promotion {
	source := []byte("document of " + id)
	return Promotion{Environment: environment, Source: source, Hash: hashOf(source), Seen: seen, ChangeID: id, PromotedBy: "ann"}
}

func hashOf(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:])
}

func parse(source []byte) (*model.Document, error) {
	return &model.Document{Hash: hashOf(source)}, nil
}

// promote runs a promotion whose context ends at the 6th attempt, which stands in
// for a deadline.
func promote(s *fakeStore, p Promotion) (Head, error) {
	tries := 0
	sleep := func(context.Context, time.Duration) error {
		if tries++; tries == 6 {
			return context.DeadlineExceeded
		}
		return nil
	}
	run := &promoter{rows: s, objects: s, p: p, sleep: sleep}
	return run.promote(context.Background())
}

// Guards against a second operator who overwrites the first one's promotion, and
// against a conflict error that does not name the head in force.
func TestSecondPromotionGetsConflict(t *testing.T) {
	s := newFakeStore()
	won, err := promote(s, promotion("first", 0))
	assert.NilError(t, err)
	assert.Equal(t, won.Generation, uint64(1))
	_, err = promote(s, promotion("second", 0))
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.InForce.ChangeID, "first")
	again, err := promote(s, promotion("first", 0))
	assert.NilError(t, err)
	assert.DeepEqual(t, again, won)
	assert.Equal(t, len(s.history), 1)
}

// Guards against a promotion that took effect, lost its answer and is reported
// as a conflict because another promotion followed, and against a definite
// answer when the list of recent changes no longer reaches back to it.
func TestLostAnswerIsResolvedAfterLaterPromotions(t *testing.T) {
	s := newFakeStore()
	_, err := promote(s, promotion("ours", 0))
	assert.NilError(t, err)
	for i := range maxRecent - 1 {
		_, err := promote(s, promotion(fmt.Sprint("later", i), uint64(i+1)))
		assert.NilError(t, err)
	}
	head, err := promote(s, promotion("ours", 0))
	assert.NilError(t, err)
	assert.Equal(t, head.Generation, uint64(1))
	assert.Equal(t, head.Recent[len(head.Recent)-1].Generation, uint64(maxRecent))
	_, err = promote(s, promotion("last", maxRecent))
	assert.NilError(t, err)
	_, err = promote(s, promotion("ours", 0))
	var unknown *UnknownOutcomeError
	assert.Assert(t, errors.As(err, &unknown))
	assert.ErrorContains(t, err, "change ours to environment trial")
}

// Guards against a promotion that looks accepted because it was given the change
// ID of another document by mistake.
func TestChangeIDOfAnotherDocument(t *testing.T) {
	s := newFakeStore()
	_, err := promote(s, promotion("one", 0))
	assert.NilError(t, err)
	other := promotion("two", 0)
	other.ChangeID = "one"
	_, err = promote(s, other)
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
}

// race runs promotions of two operators, which interleave at the requests to
// the store, and checks the result that each operator got.
type race struct {
	store    *fakeStore
	watchers []*Watcher
	count    int
	nested   bool
	results  map[string]error
}

func (r *race) promote(t *rapid.T) {
	r.count++
	id := fmt.Sprint("change", r.count)
	stale := rapid.Uint64Range(0, min(1, r.store.head.Generation)).Draw(t, "stale")
	_, r.results[id] = promote(r.store, promotion(id, r.store.head.Generation-stale))
}

// interfere lets the other operator promote between two requests.
func (r *race) interfere(t *rapid.T) {
	if r.nested || rapid.IntRange(0, 4).Draw(t, "race") != 0 {
		return
	}
	r.nested = true
	defer func() { r.nested = false }()
	r.promote(t)
}

func (r *race) poll(t *rapid.T, w *Watcher) {
	before := w.currentGeneration()
	found, err := w.readStore(context.Background(), before, w.invalidHead)
	w.handleResult(found, err)
	if w.currentGeneration() < before {
		t.Fatalf("generation fell from %d to %d", before, w.currentGeneration())
	}
}

// check compares the results of the promotions with the heads that were in force.
func (r *race) check(t *rapid.T) {
	inForce := map[string]int{}
	for i, head := range r.store.history {
		inForce[head.ChangeID]++
		if head.Generation != uint64(i+1) {
			t.Fatalf("head %d has generation %d", i, head.Generation)
		}
	}
	for id, err := range r.results {
		var conflict *ConflictError
		var unknown *UnknownOutcomeError
		switch count := inForce[id]; {
		case count > 1:
			t.Fatalf("%s took effect %d times", id, count)
		case err == nil && count != 1:
			t.Fatalf("%s was accepted and never came into force", id)
		case errors.As(err, &conflict) && count != 0:
			t.Fatalf("%s came into force after a conflict", id)
		case err != nil && !errors.As(err, &unknown) && !errors.As(err, &conflict) && !errors.Is(err, store.ErrUnavailable):
			t.Fatalf("%s ended with %v", id, err)
		case errors.Is(err, store.ErrUnavailable) && !errors.As(err, &unknown) && count != 0:
			t.Fatalf("%s came into force after it was refused: %v", id, err)
		}
	}
}

// Guards against a document that reverts, is accepted without coming into
// force, or comes into force after its promotion was reported as failed. Two
// operators race while writes are lost or delayed and the store has outages.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRace()
		outage := false
		r.store.beforeRequest = func() { r.interfere(t) }
		r.store.nextFault = func(kinds int) fault {
			if outage {
				return faultRefused
			}
			return fault(max(0, rapid.IntRange(-3, kinds-1).Draw(t, "fault")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"promote": r.promote,
			"poll":    func(t *rapid.T) { r.poll(t, rapid.SampledFrom(r.watchers).Draw(t, "watcher")) },
			"outage":  func(*rapid.T) { outage = !outage },
			"settle":  func(*rapid.T) { r.store.applyDelayed() },
			"":        r.check,
		})
		r.finish(t)
	})
}

func newRace() *race {
	r := &race{store: newFakeStore(), results: map[string]error{}}
	for range 2 {
		r.watchers = append(r.watchers, NewWatcher(Options{
			Environment: environment, Rows: r.store, Objects: r.store, Table: document.NewTable(), Parse: parse,
		}))
	}
	return r
}

// finish ends all faults and checks that both watchers reach the last head.
func (r *race) finish(t *rapid.T) {
	r.store.applyDelayed()
	r.check(t)
	r.store.nextFault = func(int) fault { return faultNone }
	r.store.beforeRequest = func() {}
	for _, w := range r.watchers {
		r.poll(t, w)
		if w.currentGeneration() != r.store.head.Generation {
			t.Fatalf("generation %d is in force, the head has %d", w.currentGeneration(), r.store.head.Generation)
		}
	}
}
