package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against a generation that is given up because connections to several engines are
// refused in a row: no engine had the request.
func TestGenerationOutlivesRefusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(16, "v1")
		defer b.close()
		b.manager.Submit(spec("r", 100))
		time.Sleep(500 * time.Millisecond)
		for i := range 16 {
			b.fake.fault(model.UpstreamID(fmt.Sprintf("e%d", i)), "kill")
		}
		time.AfterFunc(5*time.Second, func() { b.fake.fault("e7", "revive") })
		got := b.read(t.Fatalf, "r")
		got.check(t.Fatalf, "r", 100)
		assert.Assert(t, got.end.Refusal == nil)
	})
}
