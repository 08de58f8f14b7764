package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// Guards against instances that disagree permanently: rows that arrive in any
// order, in parts and repeatedly must lead to the same counts.
func TestMergeIsOrderIndependent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var parts []Rows
		for range 12 {
			fp := Fingerprint(fmt.Sprint("f", random.IntN(3)))
			at := start.Add(time.Duration(random.IntN(5)) * time.Second)
			id := DeathID{Upstream: "e", Incarnation: random.Uint64N(3)}
			parts = append(parts, Rows{Deaths: []Death{{ID: id, Fingerprint: fp, Position: random.IntN(9), At: at}}})
			if random.IntN(4) == 0 {
				parts = append(parts, Rows{Clears: []Clear{{Fingerprint: fp, At: at}}})
			}
			upstreams := []model.UpstreamID{"e", "f", "g"}
			id.Upstream = upstreams[random.IntN(3)]
			parts = append(parts, Rows{Disputes: []Dispute{{
				Death: Death{ID: id, Fingerprint: fp, At: at}, Beside: upstreams[random.IntN(3):], Tolerated: random.IntN(2), Shared: fp == "f2",
			}}})
		}
		now := start.Add(time.Minute)
		a, b := NewTable("a"), NewTable("b")
		for _, i := range random.Perm(len(parts)) {
			a.Merge(parts[i], now)
		}
		for _, i := range random.Perm(len(parts)) {
			b.Merge(parts[i], now)
			b.Merge(a.Snapshot(now), now)
		}
		assert.Assert(t, !a.Merge(b.Snapshot(now), now), "nothing is new")
		for _, fp := range []Fingerprint{"f0", "f1", "f2"} {
			na, pa := a.CountDeaths(fp, now)
			nb, pb := b.CountDeaths(fp, now)
			assert.DeepEqual(t, []int{na, pa}, []int{nb, pb})
			assert.DeepEqual(t, a.Evidence(fp, now), b.Evidence(fp, now))
		}
	}
}

func death(n uint64, position int, at time.Time) Rows {
	return Rows{Deaths: []Death{{ID: DeathID{Upstream: "e", Incarnation: n}, Fingerprint: "f", Position: position, At: at}}}
}

// Guards against a death that counts twice, is cleared too early or never expires,
// and against a second permit.
func TestDeathsClearsAndPermits(t *testing.T) {
	table := NewTable("a")
	a, b := Holder{Instance: "a", Nonce: 1}, Holder{Instance: "a", Nonce: 2}
	count := func(now time.Time) int {
		n, _ := table.CountDeaths("f", now)
		return n
	}
	table.Merge(death(1, 3, start), start)
	table.Merge(death(1, 7, start.Add(time.Second)), start.Add(time.Second))
	assert.Equal(t, count(start), 1)
	assert.Assert(t, table.Grant("f", a, start))
	assert.Assert(t, !table.Grant("f", b, start.Add(time.Second)), "one permit")
	assert.Assert(t, table.Grant("f", a, start.Add(time.Second)), "the same permit again")
	table.RecordProgress("f", 7, false, start.Add(2*time.Second))
	assert.Equal(t, count(start), 1, "position 7 was reached before")
	table.RecordProgress("f", 8, false, start.Add(2*time.Second))
	assert.Equal(t, count(start), 0)
	table.Merge(death(2, 0, start.Add(time.Second)), start.Add(3*time.Second))
	assert.Equal(t, count(start), 0, "a clear row overrides an older death")
	assert.Assert(t, table.Grant("f", b, start.Add(3*time.Second)), "the clear row ended the permit")
	table.Merge(death(3, 0, start.Add(4*time.Second)), start.Add(4*time.Second))
	assert.Equal(t, count(start.Add(5*time.Second)), 1)
	assert.Equal(t, count(start.Add(4*time.Second+expiry)), 0, "expired")
	table.Merge(death(4, 0, start.Add(time.Hour)), start)
	assert.Equal(t, count(start.Add(5*time.Second)), 1, "a clock that is far ahead is ignored")
}

// Guards against a released permit that cannot be granted again, and against one
// that a delayed request of the old holder gets, whatever the order in which the
// rows arrive.
func TestReleasedPermitCanBeGrantedAgain(t *testing.T) {
	a, b, c := Holder{Instance: "a", Nonce: 1}, Holder{Instance: "b", Nonce: 1}, Holder{Instance: "c", Nonce: 1}
	gate, other := NewTable("g"), NewTable("a")
	assert.Assert(t, gate.Grant("f", a, start))
	other.Release("f", a, start.Add(time.Second)) // the gate's answer was lost
	assert.Assert(t, gate.Merge(other.Snapshot(start), start))
	assert.Assert(t, !gate.Merge(other.Snapshot(start), start), "nothing is new")
	assert.Assert(t, !gate.Grant("f", a, start), "a delayed request")
	assert.Assert(t, gate.Grant("f", b, start.Add(time.Second)))
	assert.Assert(t, !gate.Grant("f", a, start.Add(time.Second)))

	assert.Assert(t, other.Grant("f", c, start.Add(2*time.Second)), "a gate that does not know of b")
	gate.Merge(other.Snapshot(start), start)
	other.Merge(gate.Snapshot(start), start)
	for _, table := range []*Table{gate, other} {
		now := start.Add(3 * time.Second)
		assert.Assert(t, table.HasPermit("f", b, now) && !table.HasPermit("f", c, now), "the earlier one counts")
	}
}

// Guards against a table that grows without bound with distinct fingerprints.
func TestRowsAreBounded(t *testing.T) {
	table := NewTable("a")
	var rows Rows
	for n := range maxRows + 10 {
		rows.Deaths = append(rows.Deaths, Death{Fingerprint: Fingerprint(fmt.Sprint(n)), At: start.Add(time.Duration(n) * time.Millisecond)})
	}
	table.Merge(rows, start.Add(10*time.Second))
	assert.Equal(t, len(table.Snapshot(start.Add(10*time.Second)).Deaths), maxRows)
	oldest, _ := table.CountDeaths("0", start.Add(10*time.Second))
	assert.Equal(t, oldest, 0)
}
