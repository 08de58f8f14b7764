package eventid

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const request = "north-a-1-abcdefghijklmnopqrstuvwx23"

// Guards against an instance name that is split from the ID at the wrong dash.
func TestParse(t *testing.T) {
	id, err := Parse(request + ".k5zq2m3abcdef.120")
	assert.NilError(t, err)
	assert.DeepEqual(t, id, ID{Request: request, Line: "k5zq2m3abcdef", Position: 120})
	owner, err := Owner(request)
	assert.NilError(t, err)
	assert.Equal(t, owner, model.InstanceID("north-a-1"))
	id, err = Parse(request + ".south-b-2-k5zq2m3abcdef.7")
	assert.NilError(t, err)
	assert.Equal(t, id.Line, model.LineID("south-b-2-k5zq2m3abcdef"))
}

// Guards against accepting two texts for one event, and against accepting IDs without
// a valid instance name.
func TestParseRefuses(t *testing.T) {
	for _, text := range []string{
		"", request, request + ".l", request + ".l.1.2", request + "..1", request + ".l.01", request + ".l.+1",
		request + ".l.-1", request + ".l.2147483648", request + ".l-.1", request + ".-l.1", request + ".a--.1", request + ".l_1.1", "x.l.1", "-" + request[10:] + ".l.1",
		"n.a-" + request[10:] + ".l.1", strings.ToUpper(request[:12]) + request[12:] + ".l.1", request + ".l.1\n",
		strings.Repeat("a", maxIDBytes+1),
	} {
		_, err := Parse(text)
		assert.Assert(t, err != nil, "%q was accepted", text)
	}
}

// Guards against texts that crash the parser, and against accepted texts that Format
// returns differently.
func FuzzParse(f *testing.F) {
	f.Add(request + ".k5zq2m3abcdef.120")
	f.Add(request + ".l.0")
	f.Add("a.b.c")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Parse(text)
		if err == nil {
			assert.Equal(t, Format(id), text)
		}
	})
}
