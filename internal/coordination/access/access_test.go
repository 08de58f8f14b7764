package access

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// digest is the SHA-256 of "secret".
const digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

// Guards against an operator who is admitted without a required credential, and
// against a refusal that does not say that nothing ran.
func TestAdmit(t *testing.T) {
	open, closed := &model.Document{Generation: 1}, &model.Document{Generation: 1, RequireCredential: true}
	for _, test := range []struct {
		name       string
		document   *model.Document
		configured string
		bearer     string
		code       string // empty: admitted
	}{
		{"valid", closed, digest, "secret", ""},
		{"valid before a document", nil, digest, "secret", ""},
		{"wrong", closed, digest, "Secret", "credential_required"},
		{"none", closed, digest, "", "credential_required"},
		{"none where one is configured", open, digest, "", "credential_required"},
		{"not configured", closed, "", "secret", "credential_required"},
		{"not configured, none given", closed, "", "", "credential_required"},
		{"not configured, document open", open, "", "", ""},
		{"not configured, no document", nil, "", "", "not_ready"},
	} {
		documents := document.NewTable()
		if test.document != nil {
			documents.Apply(test.document)
		}
		refusal := Operators{Documents: documents, CredentialSHA256: test.configured}.Admit(test.bearer)
		if test.code == "" {
			assert.Assert(t, refusal == nil, test.name)
			continue
		}
		assert.Equal(t, refusal.Code, test.code, test.name)
		assert.Equal(t, refusal.Outcome, model.OutcomeNotRun, test.name)
	}
}

// Guards against identifying callers without a credential as an organisation that
// has no credential.
func TestNoCredentialMatchesNothing(t *testing.T) {
	assert.Assert(t, !NewCredential("").Matches(""))
	assert.Assert(t, !NewCredential("secret").Matches(""))
	assert.Assert(t, NewCredential("secret").Matches(digest))
}
