package engine

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// Guards against a fault that is set but does not take effect, which would let
// tests of its handling pass without the fault.
func TestStreamFaults(t *testing.T) {
	for name, test := range map[string]struct {
		faults Faults
		check  func(t *testing.T, got received)
	}{
		"cut": {Faults{CutAfter: 3}, func(t *testing.T, got received) {
			assert.Assert(t, got.err != nil && !got.done)
			assert.DeepEqual(t, got.tokens, expectedTokens("p", 0, 3))
		}},
		"cut with a proper body": {Faults{CutAfter: 3, CutClean: true}, func(t *testing.T, got received) {
			assert.NilError(t, got.err)
			assert.Assert(t, !got.done && got.finish == "")
			assert.DeepEqual(t, got.tokens, expectedTokens("p", 0, 3))
		}},
		"duplicates": {Faults{DuplicateFraction: 0.5}, func(t *testing.T, got received) {
			assert.Assert(t, len(got.tokens) > 40 && got.total == 40)
			assert.Assert(t, slices.IsSorted(got.positions))
		}},
		"skips": {Faults{SkipFraction: 0.5}, func(t *testing.T, got received) {
			assert.Assert(t, len(got.tokens) < 40 && got.total == 40)
		}},
		"wrong stream": {Faults{WrongStreamFraction: 0.5}, func(t *testing.T, got received) {
			assert.Assert(t, slices.Contains(got.ids, "other") && slices.Contains(got.ids, "a"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runWithEngine(t, Options{Seed: 1}, func(t *testing.T, h harness) {
				other := h.start(request("other", "q", 1000))
				time.Sleep(time.Second)
				code, _ := h.status("PUT", standin.FaultsPath, test.faults)
				assert.Equal(t, code, http.StatusOK)
				test.check(t, collect(t, h.start(request("a", "p", 40)), 0))
				_ = other.Body.Close()
			})
		})
	}
}

// Guards against faults that do not change the timing of streams as configured.
func TestTimingFaults(t *testing.T) {
	elapsed := func(h harness, faults Faults) time.Duration {
		h.engine.SetFaults(faults)
		began := time.Now()
		collect(h.t, h.start(request(time.Now().String(), "", 11)), 0)
		return time.Since(began)
	}
	runWithEngine(t, Options{TokenTime: 100 * time.Millisecond}, func(t *testing.T, h harness) {
		assert.Equal(t, elapsed(h, Faults{}), time.Second)
		time.Sleep(time.Minute)
		assert.Equal(t, elapsed(h, Faults{SlowFactor: 3}), 3*time.Second)
		time.Sleep(time.Minute)
		assert.Equal(t, elapsed(h, Faults{SlowFactor: 3, AboveLoad: 1}), time.Second)
		time.Sleep(time.Minute)
		assert.Equal(t, elapsed(h, Faults{LateFraction: 1, LateMS: 5000, CutAfter: 1, CutClean: true}), 5*time.Second)
		time.Sleep(time.Minute)
		time.AfterFunc(time.Minute, func() { h.engine.SetFaults(Faults{}) })
		assert.Assert(t, elapsed(h, Faults{Freeze: true}) >= time.Minute)
	})
}

// Guards against AboveLoad being ignored, so that requests fail at any load.
func TestFailsOnlyAboveLoad(t *testing.T) {
	runWithEngine(t, Options{Faults: Faults{FailFraction: 1, AboveLoad: 2}}, func(t *testing.T, h harness) {
		first, second := h.start(request("a", "p", 100)), h.start(request("b", "p", 100))
		code, _ := h.status("POST", engineapi.CompletionsPath, request("c", "p", 1))
		assert.Equal(t, code, http.StatusInternalServerError)
		assert.Assert(t, collect(t, first, 0).done && collect(t, second, 0).done)
		assert.Assert(t, collect(t, h.start(request("c", "p", 1)), 0).done)
		assert.Equal(t, h.engine.Stats().Failed, int64(1))
	})
}

// Guards against a crash at a position other than CrashAt, or because of a prompt
// without the marker.
func TestCrashMarker(t *testing.T) {
	runWithEngine(t, Options{Faults: Faults{CrashMarker: "poison", CrashAt: 5}}, func(t *testing.T, h harness) {
		unmarked := h.start(request("a", "p", 100))
		assert.Equal(t, len(collect(t, h.start(request("b", "p", 20)), 0).tokens), 20)
		got := collect(t, h.start(request("c", "some poison", 20)), 0)
		assert.DeepEqual(t, got.tokens, expectedTokens("some poison", 0, 5))
		assert.Assert(t, got.err != nil)
		assert.Assert(t, collect(t, unmarked, 0).err != nil)
	})
}

// Guards against a misspelt fault name that is ignored, which would leave a test
// without its fault.
func TestUnknownFaultIsRefused(t *testing.T) {
	runWithEngine(t, Options{}, func(t *testing.T, h harness) {
		code, _ := h.status("PUT", standin.FaultsPath, map[string]int{"cut_afer": 3})
		assert.Equal(t, code, http.StatusBadRequest)
	})
}
