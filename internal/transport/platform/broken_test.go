package platform_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
)

// Guards against a write that counts as applied or as refused, and a read that counts as
// answered, by bytes that are no answer.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for _, form := range rawhttp.BrokenAnswers() {
		for _, status := range []string{"200 OK", "412 Precondition Failed"} {
			server, err := form.WithStatus(status).Start(func(*http.Request) string { return "ETag: \"1\"\r\n" }, "{}")
			assert.NilError(t, err)
			client, err := platform.New(platform.Options{BaseURL: "http://" + server.Address()})
			assert.NilError(t, err)
			rows := platform.NewRows[text](client, "t")
			value := text{Text: "a"}
			if form.NeedsUpload {
				value.Text = strings.Repeat("a", rawhttp.UploadBytes)
			}
			_, err = rows.Put(t.Context(), "k", value, store.NoRow)
			assert.Check(t, errors.Is(err, store.ErrUnknownOutcome), "%s, %s: %v", form.Name, status, err)
			if !form.NeedsUpload { // a read has no body
				_, err = rows.Get(t.Context(), "k")
				assert.Check(t, err != nil, "read: %s", form.Name)
			}
			client.Close()
			assert.NilError(t, server.Close())
		}
	}
}

type text struct {
	Text string `json:"text"`
}
