package jsonsplit

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against members that are cut, joined or lost.
func TestMembersAreWhole(t *testing.T) {
	for _, text := range []string{
		`{}`, `[]`, ` { "a" : 1 , "b" : [ 1 , { "c" : "]}," } ] , "d" : "\"\\" } `, `[1,-2.5e3,true,null,"a,b",[],{},[[1],[2]]]`,
		`{"a":"\\"}`, `{"ü":"ß","\u0061":2}`, "[\n1\t,\r2 ]",
	} {
		if strings.HasPrefix(strings.TrimSpace(text), "{") {
			var want map[string]json.RawMessage
			assert.NilError(t, json.Unmarshal([]byte(text), &want))
			got, err := Object([]byte(text))
			assert.NilError(t, err, text)
			assert.Equal(t, len(got), len(want), text)
			for name, value := range want {
				assert.Equal(t, string(got[name]), string(value), text)
			}
			continue
		}
		var want []json.RawMessage
		assert.NilError(t, json.Unmarshal([]byte(text), &want))
		got, err := Array([]byte(text))
		assert.NilError(t, err, text)
		assert.Equal(t, len(got), len(want), text)
		for i := range want {
			assert.Equal(t, string(got[i]), string(want[i]), text)
		}
	}
	for _, text := range []string{``, `{`, `[`, `[1`, `[1,`, `[,]`, `{"a"}`, `{"a":}`, `{1:2}`, `[1]x`, `["a]`, `{"a":1,}`, `[}`} {
		_, errObject := Object([]byte(text))
		_, errArray := Array([]byte(text))
		assert.Assert(t, errObject != nil && errArray != nil, text)
	}
}

// Guards against a deeply nested member that hides the others, or exhausts the stack.
func TestDeeplyNestedMemberDoesNotHideOthers(t *testing.T) {
	const depth = 1_000_000
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	got, err := Array([]byte(`[1,` + deep + `,{"a":2}]`))
	assert.NilError(t, err)
	assert.Equal(t, len(got), 3)
	assert.Equal(t, string(got[2]), `{"a":2}`)
}

// Guards against a text that crashes the scanner, and against one that encoding/json
// accepts and this package splits in another way.
func FuzzArray(f *testing.F) {
	for _, seed := range []string{`[1,{"a":"]"},"\"",[[]]]`, `[`, `{"a":[1,2]}`, `["\`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, _ = Object(text)
		got, err := Array(text)
		var want []json.RawMessage
		if json.Unmarshal(text, &want) != nil || want == nil {
			return
		}
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(want))
		for i := range want {
			assert.Equal(t, string(got[i]), string(want[i]))
		}
	})
}
