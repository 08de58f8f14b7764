package platformapi

import (
	"encoding/json"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Guards against a key with slashes, dots or other reserved characters whose path names
// another row.
func TestRowPathKeepsAnyKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Filter(ValidKey).Draw(t, "key")
		parsed, err := url.Parse("http://127.0.0.1:1" + RowPath("calls", key))
		assert.NilError(t, err)
		assert.Equal(t, parsed.Path, "/tables/calls/rows/"+key)
		assert.Equal(t, parsed.EscapedPath(), RowPath("calls", key))
		assert.Equal(t, parsed.RawQuery+parsed.Fragment, "")
	})
}

// Guards against a field that is lost when an instance or upstream is encoded as an
// entry and decoded again.
func TestEntriesKeepTheirFields(t *testing.T) {
	instance := model.Instance{ID: "i1", Incarnation: 7, Region: "r", FailureDomain: "d", CallerAddress: "127.0.0.1:1",
		EntryAddress: "127.0.0.1:2", ControlAddress: "127.0.0.1:3", State: model.InstanceLeaving}
	assert.DeepEqual(t, InstanceEntry(instance).Instance(), instance)
	upstream := model.Upstream{ID: "u1", Kind: model.KindEngine, Address: "127.0.0.1:4", Region: "r", FailureDomain: "d",
		Serves: "m", Version: "v1", Fencing: model.FencingIgnored}
	entry := UpstreamEntry(upstream, true)
	assert.DeepEqual(t, entry.Upstream(), upstream)
	assert.Assert(t, entry.Leaving())
}

// Guards against one odd entry, which another writer left, that hides the whole list:
// instances would no longer learn of upstreams that leave.
func TestOddEntryDoesNotHideOthers(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	sound := Entry{ID: "u1", Kind: KindEngine, Status: StatusLive, Address: "127.0.0.1:4"}
	encoded, err := json.Marshal(sound)
	assert.NilError(t, err)
	for _, odd := range []string{
		`{"id":"odd","x":` + deep + `}`, `{"id":7}`, `{"id":"odd","incarnation":1e400}`, `7`,
		`{"id":"odd","kind":"engine","address":"127.0.0.1:65536"}`, `{"id":"odd","kind":"engine","address":"127.0.0.1"}`,
	} {
		list, skipped, err := DecodeEntryList([]byte(`{"entries":[` + odd + `,` + string(encoded) + `]}`))
		assert.NilError(t, err)
		assert.Equal(t, len(skipped), 1)
		assert.DeepEqual(t, list.Entries, []Entry{sound})
	}
	_, _, err = DecodeEntryList([]byte(`{"entries":`))
	assert.Assert(t, err != nil)
}
