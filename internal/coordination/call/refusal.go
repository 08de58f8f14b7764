package call

import (
	"fmt"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Codes of refusals.
const (
	CodeKeyRequired         = "idempotency_key_required"
	CodeKeyInvalid          = "idempotency_key_invalid"
	CodeKeyReused           = "idempotency_key_reused"
	CodeClaimsUnavailable   = "claims_unavailable"
	CodeOutcomeUnknown      = "outcome_unknown"
	CodeResultNotKept       = "result_not_kept"
	CodeNoUpstream          = "no_upstream"
	CodeUpstreamUnreachable = "upstream_unreachable"
	CodeDeadlineExceeded    = "deadline_exceeded"
	CodeOverloaded          = "overloaded"
)

// maxKeyBytes bounds the idempotency key, which becomes part of a row key.
const maxKeyBytes = 255

// retryAfter suits faults of the platform's table and of upstreams, most of
// which last longer than a round trip and shorter than a minute.
const retryAfter = 2 * time.Second

func notRun(code, message string) *model.Refusal {
	return &model.Refusal{Code: code, Message: message, Outcome: model.OutcomeNotRun}
}

func notRunRetry(code, message string) *model.Refusal {
	r := notRun(code, message)
	r.RetryAfter = retryAfter
	return r
}

func refuseKeyRequired(req Request) *model.Refusal {
	return notRun(CodeKeyRequired, fmt.Sprintf("route %q is not idempotent and needs an Idempotency-Key", req.RouteName()))
}

func refuseKeyInvalid() *model.Refusal {
	return notRun(CodeKeyInvalid, fmt.Sprintf("Idempotency-Key is longer than %d bytes", maxKeyBytes))
}

func refuseKeyReused() *model.Refusal {
	return notRun(CodeKeyReused, "the Idempotency-Key belongs to a call with a different method, path, query or body")
}

func refuseClaims() *model.Refusal {
	return notRunRetry(CodeClaimsUnavailable, "the call could not be claimed and was not sent")
}

func refuseReleasing() *model.Refusal {
	return notRunRetry(CodeClaimsUnavailable, "the claim of an earlier call that was not sent is still being released")
}

func refuseNoUpstream(service string) *model.Refusal {
	return notRunRetry(CodeNoUpstream, fmt.Sprintf("no upstream serves %q now", service))
}

func refuseUnreachable() *model.Refusal {
	return notRunRetry(CodeUpstreamUnreachable, "no connection to an upstream could be made and nothing was sent")
}

func refuseDeadline() *model.Refusal {
	return notRun(CodeDeadlineExceeded, "the deadline passed before the call was sent")
}

func refuseOverloaded() *model.Refusal {
	return notRunRetry(CodeOverloaded, "too many calls are in flight on this instance")
}

func unknown(message string) *model.Refusal {
	return &model.Refusal{Code: CodeOutcomeUnknown, Message: message, Outcome: model.OutcomeUnknown}
}

func refuseResultNotKept(status int) *model.Refusal {
	return &model.Refusal{
		Code:    CodeResultNotKept,
		Message: fmt.Sprintf("the call ran and ended with status %d; its response was too large to keep", status),
		Outcome: model.OutcomeDone,
	}
}
