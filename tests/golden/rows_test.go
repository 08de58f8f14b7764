package golden

import (
	"encoding/json"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/call"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/lease"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/tests/filler"
)

// Guards against a stored row, or a body that operators, engines and clients
// exchange with the system, whose field is lost or gets another name.
func TestRowsAndBodies(t *testing.T) {
	for name, value := range map[string]any{
		"row-lease":          &lease.Record{},
		"row-claim":          &call.Claim{},
		"row-document-head":  &environment.Head{},
		"row-version-move":   &rollout.Move{},
		"debug-request":      &debugapi.Request{},
		"debug-instances":    &debugapi.Instances{},
		"debug-upstreams":    &debugapi.Upstreams{},
		"problem":            &problem.Body{},
		"engine-request":     &engineapi.CompletionRequest{},
		"engine-chunk":       &engineapi.Chunk{},
		"engine-leaving":     &engineapi.LeavingNotice{},
		"engine-health":      &engineapi.Health{},
		"engine-cache":       &engineapi.CacheEvents{},
		"engine-state":       &engineapi.State{},
		"engine-order":       &engineapi.Order{},
		"engine-state-reply": &engineapi.StateReply{},
		"engine-error":       &engineapi.ErrorReply{},
		"platform-entries":   &platformapi.EntryList{},
		"platform-rows":      &platformapi.RowList{},
		"platform-error":     &platformapi.ErrorReply{},
	} {
		t.Run(name, func(t *testing.T) {
			filler.Fill(value, json.RawMessage(`{"raw":1}`))
			encoded, err := json.MarshalIndent(value, "", "  ")
			assert.NilError(t, err)
			golden.Assert(t, string(encoded)+"\n", name+".golden")
			decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
			assert.NilError(t, json.Unmarshal(encoded, decoded))
			again, err := json.MarshalIndent(decoded, "", "  ")
			assert.NilError(t, err)
			assert.Equal(t, string(again), string(encoded))
		})
	}
}
