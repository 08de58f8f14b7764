package platform_test

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
	standin "github.com/sequoiavalve/sequoiavalve/internal/transport/standin/platform"
)

type record struct {
	Holder  string
	Fencing uint64
}

// fixture is a client of a fresh stand-in.
type fixture struct {
	standin *standin.Platform
	client  *platform.Client
	rows    *platform.Rows[record]
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	platformStandIn := standin.New(standin.Options{Seed: 1})
	server := httptest.NewServer(platformStandIn)
	client, err := platform.New(platform.Options{BaseURL: server.URL})
	assert.NilError(t, err)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return fixture{platformStandIn, client, platform.NewRows[record](client, "leases")}
}

// Guards against two writers that both believe their write was accepted.
func TestOnlyOneOfTwoWritersSucceeds(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	_, err := f.rows.Get(ctx, "moves/m")
	assert.ErrorIs(t, err, store.ErrNotFound)
	first, err := f.rows.Put(ctx, "moves/m", record{"a", 1}, store.NoRow)
	assert.NilError(t, err)
	_, err = f.rows.Put(ctx, "moves/m", record{"b", 1}, store.NoRow)
	assert.ErrorIs(t, err, store.ErrConflict)
	second, err := f.rows.Put(ctx, "moves/m", record{"b", 2}, first)
	assert.NilError(t, err)
	_, err = f.rows.Put(ctx, "moves/m", record{"a", 3}, first)
	assert.ErrorIs(t, err, store.ErrConflict)
	_, err = f.rows.Put(ctx, "moves/other", record{"a", 3}, first)
	assert.ErrorIs(t, err, store.ErrConflict)
	got, err := f.rows.Get(ctx, "moves/m")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, store.Row[record]{Key: "moves/m", Value: record{"b", 2}, Revision: second})
	assert.ErrorIs(t, f.rows.Delete(ctx, "moves/m", first), store.ErrConflict)
	assert.NilError(t, f.rows.Delete(ctx, "moves/m", second))
	_, err = f.rows.Put(ctx, "moves/m", record{"c", 9}, second)
	assert.ErrorIs(t, err, store.ErrConflict)
}

// Guards against a lost answer that is taken for a refusal: the three faults
// look alike to the client, but only two of the writes took effect.
func TestLostAnswerIsUnknownAndReadsBack(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	for name, test := range map[string]struct {
		faults  standin.Faults
		applied bool
	}{
		"answer lost":  {standin.Faults{LoseAnswers: 1}, true},
		"request lost": {standin.Faults{LoseRequests: 1}, false},
		"answer 500":   {standin.Faults{FailWrites: 1}, true},
		"fraction":     {standin.Faults{LoseFraction: 1}, true},
	} {
		f.standin.SetFaults(test.faults)
		_, err := f.rows.Put(ctx, name, record{name, 1}, store.NoRow)
		assert.ErrorIs(t, err, store.ErrUnknownOutcome, name)
		got, err := f.rows.Get(ctx, name)
		if !test.applied {
			assert.ErrorIs(t, err, store.ErrNotFound, name)
			continue
		}
		assert.NilError(t, err, name)
		assert.Equal(t, got.Value.Holder, name)
	}
	stats := f.standin.Stats()
	assert.Equal(t, stats.Writes, int64(4), "a write was sent again")
	assert.Equal(t, stats.Applied, int64(3))
}

// Guards against an outage that is taken for a conflict or a lost answer.
func TestDownPlatformHasNoEffect(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	f.standin.SetFaults(standin.Faults{Down: true})
	_, err := f.rows.Put(ctx, "k", record{"a", 1}, store.NoRow)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, store.ErrUnknownOutcome))
	_, err = f.rows.List(ctx, "")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	f.standin.SetFaults(standin.Faults{})
	_, err = f.rows.Get(ctx, "k")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

// Guards against a client that ignores how long the platform asks it to wait.
func TestRateLimitErrorsCarryRetryAfter(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	f.standin.SetFaults(standin.Faults{WeightsPerSecond: 0.2, WritesPerSecond: 0.5})
	weights := platform.NewWeights(f.client)
	body, err := weights.Fetch(ctx, "model/v1")
	assert.NilError(t, err)
	assert.Equal(t, len(body), 1024)
	_, err = weights.Fetch(ctx, "model/v1")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, platform.RetryAfter(err).Seconds(), 5.0)
	_, err = f.rows.Put(ctx, "k", record{}, store.NoRow)
	assert.NilError(t, err)
	_, err = f.rows.Put(ctx, "l", record{}, store.NoRow)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, platform.RetryAfter(err).Seconds(), 2.0)
}

// Guards against an object that changes under its key.
func TestObjectsNeverChange(t *testing.T) {
	f := newFixture(t)
	objects := platform.NewObjects(f.client)
	ctx := t.Context()
	_, err := objects.GetObject(ctx, "env/1")
	assert.ErrorIs(t, err, store.ErrNotFound)
	assert.NilError(t, objects.PutObject(ctx, "env/1", []byte("one")))
	assert.NilError(t, objects.PutObject(ctx, "env/1", []byte("one")))
	assert.ErrorIs(t, objects.PutObject(ctx, "env/1", []byte("two")), store.ErrConflict)
	assert.NilError(t, objects.PutObject(ctx, "empty", nil))
	got, err := objects.GetObject(ctx, "env/1")
	assert.NilError(t, err)
	assert.Equal(t, string(got), "one")
}

// Guards against a key, a prefix or a revision that changes when it is encoded in
// the path, the query or a header. A map is the reference model.
func TestRowsActLikeAMap(t *testing.T) {
	f := newFixture(t)
	rapid.Check(t, func(r *rapid.T) {
		table := rapid.StringMatching(`[a-z]{16}`).Draw(r, "table")
		rows := platform.NewRows[record](f.client, table)
		want := map[string]store.Row[record]{}
		keys := rapid.SampledFrom([]string{"a", "a/b", "a//b", "/a", "a/../b", "é ?#%2F", "a/b/c"})
		steps := rapid.IntRange(1, 12).Draw(r, "steps")
		for range steps {
			key := keys.Draw(r, "key")
			value := record{rapid.String().Draw(r, "holder"), rapid.Uint64().Draw(r, "fencing")}
			expected := want[keys.Draw(r, "revision of")].Revision
			revision, err := rows.Put(t.Context(), key, value, expected)
			if expected != want[key].Revision {
				assert.ErrorIs(r, err, store.ErrConflict)
				continue
			}
			assert.NilError(r, err)
			want[key] = store.Row[record]{Key: key, Value: value, Revision: revision}
		}
		prefix := rapid.SampledFrom([]string{"", "a", "a/", "é ?", "z"}).Draw(r, "prefix")
		listed, err := rows.List(t.Context(), prefix)
		assert.NilError(r, err)
		for _, row := range listed {
			assert.Assert(r, strings.HasPrefix(row.Key, prefix))
			assert.DeepEqual(r, row, want[row.Key])
			delete(want, row.Key)
		}
		for key := range want {
			assert.Assert(r, !strings.HasPrefix(key, prefix), "%q is missing", key)
		}
	})
}

// Guards against keys that are lost when a URL path is cleaned.
func TestUnusableKeysAreRefused(t *testing.T) {
	f := newFixture(t)
	for _, key := range []string{"", ".", ".."} {
		assert.Assert(t, !platformapi.ValidKey(key))
		_, err := f.rows.Get(t.Context(), key)
		assert.ErrorContains(t, err, "does not name")
	}
	assert.Equal(t, f.standin.Stats().Reads, int64(0))
}
