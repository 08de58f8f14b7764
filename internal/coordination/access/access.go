// Package access decides who may use the system: callers by the credential of
// their organisation, operators by the credential in the settings.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Credential is the digest of a bearer credential.
type Credential struct {
	digest string // hex SHA-256; empty for no credential
}

// NewCredential returns the digest of a bearer credential.
func NewCredential(bearer string) Credential {
	if bearer == "" {
		return Credential{}
	}
	sum := sha256.Sum256([]byte(bearer))
	return Credential{digest: hex.EncodeToString(sum[:])}
}

// Matches reports whether the credential has the given hex SHA-256. An absent
// credential matches no digest, not even an empty one.
func (c Credential) Matches(digest string) bool {
	return c.digest != "" && subtle.ConstantTimeCompare([]byte(c.digest), []byte(digest)) == 1
}

// CredentialRequired returns the refusal of a request without a valid credential of the
// given kind.
func CredentialRequired(kind string) *model.Refusal {
	return &model.Refusal{
		Code:    "credential_required",
		Message: "A valid " + kind + " credential is required in the Authorization header.",
		Outcome: model.OutcomeNotRun,
	}
}

// NotReady returns the refusal of a request while no document is in force.
func NotReady() *model.Refusal {
	return &model.Refusal{
		Code:       "not_ready",
		Message:    "This instance has no environment document yet.",
		Outcome:    model.OutcomeNotRun,
		RetryAfter: time.Second,
	}
}

// Operators admits operators to the debug address.
type Operators struct {
	Documents *document.Table
	// CredentialSHA256 is the hex SHA-256 of the operators' bearer credential.
	// Empty means that there is none: operators are then admitted only if a
	// document is in force and requires no credentials.
	CredentialSHA256 string
}

// Admit returns a refusal unless the credential admits an operator.
func (o Operators) Admit(bearer string) *model.Refusal {
	if o.CredentialSHA256 != "" {
		if NewCredential(bearer).Matches(o.CredentialSHA256) {
			return nil
		}
		return CredentialRequired("operator")
	}
	d := o.Documents.Current()
	switch {
	case d == nil:
		return NotReady()
	case d.RequireCredential:
		return CredentialRequired("operator")
	}
	return nil
}
