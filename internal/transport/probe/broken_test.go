package probe

import (
	"net/http"
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

// Guards against an upstream that counts as healthy by bytes that are no answer. A probe
// has no body, so forms that need an upload cannot occur.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for _, form := range rawhttp.BrokenAnswers() {
		if form.NeedsUpload {
			continue
		}
		s, err := form.Start(func(*http.Request) string { return "" }, `{"status":"up"}`)
		assert.NilError(t, err)
		p := New()
		for range 2 {
			_, err = p.Probe(t.Context(), model.Upstream{ID: "u", Address: s.Address()})
			assert.Check(t, err != nil, form.Name)
		}
		assert.Check(t, s.Requests() == 2, "%s: %d requests", form.Name, s.Requests())
		p.http.CloseIdleConnections()
		assert.NilError(t, s.Close())
	}
}
