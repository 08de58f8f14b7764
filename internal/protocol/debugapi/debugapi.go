// Package debugapi encodes what an entry process tells operators about one
// request.
package debugapi

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// RequestPath takes the request ID. GET answers with a Request, or with 404
// and an error body once the request is forgotten.
const RequestPath = "/debug/requests/"

// Request is the body of GET RequestPath. It holds no prompt and no tokens.
type Request struct {
	Request  model.RequestID `json:"request"`
	Model    string          `json:"model"`
	Version  string          `json:"version"`
	Attempts []Attempt       `json:"attempts"`
}

// Attempt is one run on one engine.
type Attempt struct {
	Upstream model.UpstreamID `json:"upstream"`
	Started  time.Time        `json:"started"`
	Tokens   int              `json:"tokens"` // accepted from this attempt
	Loss     string           `json:"loss"`   // reason; empty while it runs and after its end
}
