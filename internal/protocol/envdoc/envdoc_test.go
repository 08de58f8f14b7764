package envdoc

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const examples = "../../../examples"

func read(t testing.TB, path string) []byte {
	t.Helper()
	src, err := os.ReadFile(path)
	assert.NilError(t, err)
	return src
}

func parseExample(t testing.TB, name string) *model.Document {
	t.Helper()
	doc, faults := ParseForPromotion(read(t, filepath.Join(examples, name)), time.Date(2026, 10, 1, 0, 0, 0, 0, time.UTC))
	assert.NilError(t, faults.Err())
	return doc
}

// Guards against examples that no longer match the format.
func TestExamplesParse(t *testing.T) {
	for _, name := range []string{"archive-workshop", "permit-office"} {
		doc := parseExample(t, name+".yaml")
		domains := map[model.FailureDomain]bool{}
		for _, u := range doc.Upstreams {
			domains[u.FailureDomain] = true
		}
		assert.Equal(t, len(doc.Organisations), 10)
		assert.Equal(t, len(doc.Upstreams), 23)
		assert.Equal(t, len(domains), 3)
		assert.Assert(t, !doc.Services[0].Routes[0].Idempotent)
		encoded, err := json.MarshalIndent(doc, "", " ")
		assert.NilError(t, err)
		golden.Assert(t, string(encoded)+"\n", name+".golden")
	}
}

// Guards against a fault that is not reported, has the wrong line, or hides other
// faults.
func TestAllFaultsAreReported(t *testing.T) {
	doc, faults := ParseForPromotion(read(t, "testdata/bad.yaml"), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	assert.Assert(t, doc == nil)
	golden.Assert(t, faults.Error()+"\n", "bad.golden")
}

// Guards against a document in force that becomes invalid as time passes.
func TestFinishByMayPassAfterPromotion(t *testing.T) {
	src := read(t, filepath.Join(examples, "archive-workshop.yaml"))
	late := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	_, faults := ParseForPromotion(src, late)
	assert.Equal(t, len(faults), 1)
	assert.ErrorContains(t, faults.Err(), "models[0].finish_by: line")
	_, faults = Parse(src)
	assert.NilError(t, faults.Err())
}

// Guards against sources that take unbounded time or memory to parse.
func TestBounds(t *testing.T) {
	_, faults := Parse([]byte(strings.Repeat("#", MaxBytes+1)))
	assert.ErrorContains(t, faults.Err(), "at most 4194304 are allowed")
	_, faults = Parse([]byte("models: [" + strings.Repeat("a,", MaxBytes/2-20) + "]"))
	assert.ErrorContains(t, faults.Err(), "at most 262144 are allowed")
	_, faults = Parse([]byte("models: [" + strings.Repeat("a,", 250_000) + "]"))
	assert.Equal(t, len(faults), 1000)
	bomb := "a: &a [x,x,x,x]\n"
	for i := range 30 {
		bomb += fmt.Sprintf("a%d: &a%d [*a,*a,*a,*a]\n", i, i)
	}
	_, faults = Parse([]byte(bomb))
	assert.Assert(t, len(faults) > 0)
}

// Guards against a field that is lost when a document is encoded for another process.
func TestRoundTripByFieldNames(t *testing.T) {
	doc := parseExample(t, "archive-workshop.yaml")
	var fromJSON, fromCBOR model.Document
	encoded, err := json.Marshal(doc)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(encoded, &fromJSON))
	assert.DeepEqual(t, &fromJSON, doc)
	encoded, err = cbor.Marshal(doc)
	assert.NilError(t, err)
	assert.NilError(t, cbor.Unmarshal(encoded, &fromCBOR))
	fromCBOR.Models[0].Plan.FinishBy = fromCBOR.Models[0].Plan.FinishBy.UTC()
	assert.DeepEqual(t, &fromCBOR, doc)
}

// Guards against a difference that the diff does not show to an operator before a
// promotion.
func TestDiff(t *testing.T) {
	a, b := parseExample(t, "archive-workshop.yaml"), parseExample(t, "archive-workshop.yaml")
	assert.Equal(t, len(Diff(a, b)), 0)
	b.RequireCredential = true
	b.Organisations[0].Weight = 9
	b.Models[0].Plan = model.VersionPlan{Target: "2.1"}
	b.Services[0].Routes[1].Timeout = time.Second
	b.Services[0].Routes = b.Services[0].Routes[1:]
	b.Upstreams[0].ID = "engine-new"
	b.Upstreams[1].Fencing = model.FencingIgnored
	var lines strings.Builder
	for _, change := range Diff(a, b) {
		fmt.Fprintln(&lines, change)
	}
	golden.Assert(t, lines.String(), "diff.golden")
	assert.Equal(t, len(Diff(nil, a)), 10+1+1+23)
}

// Guards against sources that crash the parser, and against an accepted document
// without the values that its users rely on.
func FuzzParse(f *testing.F) {
	f.Add(read(f, filepath.Join(examples, "archive-workshop.yaml")))
	f.Add(read(f, filepath.Join(examples, "permit-office.yaml")))
	f.Add(read(f, "testdata/bad.yaml"))
	f.Add([]byte("models: &a [*a]"))
	f.Add([]byte("? {a: b}\n: c"))
	f.Fuzz(func(t *testing.T, src []byte) {
		doc, faults := Parse(src)
		if (doc == nil) == (len(faults) == 0) {
			t.Fatalf("document %v with faults %v", doc, faults)
		}
		if doc == nil {
			return
		}
		assert.Equal(t, doc.Hash, Hash(src))
		for _, o := range doc.Organisations {
			assert.Assert(t, o.Weight >= 1)
		}
		assert.Equal(t, len(Diff(doc, doc)), 0)
	})
}
