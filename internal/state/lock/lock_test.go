//go:build lockcheck

package lock

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a check that misses locks taken out of order, which can
// deadlock.
func TestOutOfOrderLockPanics(t *testing.T) {
	low, high := New(RankDocument), New(RankCall)
	low.Lock()
	high.Lock()
	high.Unlock()
	low.Unlock()

	high.Lock()
	defer high.Unlock()
	defer func() { assert.Assert(t, recover() != nil) }()
	low.Lock()
}

// Guards against a check that misses two locks of the same rank held together.
func TestEqualRankPanics(t *testing.T) {
	a, b := New(RankStop), New(RankStop)
	a.Lock()
	defer a.Unlock()
	defer func() { assert.Assert(t, recover() != nil) }()
	b.Lock()
}
