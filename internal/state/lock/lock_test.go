//go:build lockcheck

package lock

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a table that takes locks out of order and can deadlock.
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

// Guards against two locks of one rank being held together.
func TestEqualRankPanics(t *testing.T) {
	a, b := New(RankStop), New(RankStop)
	a.Lock()
	defer a.Unlock()
	defer func() { assert.Assert(t, recover() != nil) }()
	b.Lock()
}
