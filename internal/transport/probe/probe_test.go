package probe

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Guards against an upstream whose figures attract all work to it, overflow the
// estimates, or are dated in the future.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"status":"up","incarnation":1,"running":3,"waiting":1,"token_time_ms":42.5,"prefill_bytes_per_s":20000,"load_at":"2026-10-01T12:00:00Z"}`))
	f.Add([]byte(`{"running":-9223372036854775808,"waiting":9223372036854775807,"token_time_ms":1e308,"prefill_bytes_per_s":-1e308}`))
	f.Add([]byte(`{"status":"leaving","load_at":"9999-12-31T23:59:59Z","token_time_ms":-1}`))
	f.Add([]byte(`{"running":1e999}`))
	f.Add([]byte(`[[[[`))
	now := time.Date(2026, 10, 1, 12, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, body []byte) {
		var health engineapi.Health
		if json.Unmarshal(body, &health) != nil {
			return
		}
		r := report(model.Upstream{ID: "u"}, health, now)
		assert.Assert(t, r.Running >= 0 && r.Running <= maxGenerations, r.Running)
		assert.Assert(t, r.Waiting >= 0 && r.Waiting <= maxGenerations, r.Waiting)
		assert.Assert(t, r.TokenTime >= 0 && r.TokenTime <= time.Minute, r.TokenTime)
		assert.Assert(t, r.PrefillRate >= 0 && r.PrefillRate <= maxPrefillRate, r.PrefillRate)
		assert.Assert(t, !r.At.After(now), r.At)
	})
}
