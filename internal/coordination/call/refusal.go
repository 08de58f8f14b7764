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

// maxKeyBytes limits the length of the idempotency key, which is part of a row key.
const maxKeyBytes = 255

// retryAfter is the delay before a retry that a refusal advises. Most faults of the
// claims table and of upstreams last longer than a round trip and less than a
// minute.
const retryAfter = 2 * time.Second

func refuseNotRun(code, message string) *model.Refusal {
	return &model.Refusal{Code: code, Message: message, Outcome: model.OutcomeNotRun}
}

func refuseNotRunRetryable(code, message string) *model.Refusal {
	r := refuseNotRun(code, message)
	r.RetryAfter = retryAfter
	return r
}

func refuseKeyRequired(req Request) *model.Refusal {
	return refuseNotRun(CodeKeyRequired, fmt.Sprintf("route %q is not idempotent and needs an Idempotency-Key", req.RouteName()))
}

func refuseKeyInvalid() *model.Refusal {
	return refuseNotRun(CodeKeyInvalid, fmt.Sprintf("Idempotency-Key is longer than %d bytes", maxKeyBytes))
}

func refuseKeyReused() *model.Refusal {
	return refuseNotRun(CodeKeyReused, "the Idempotency-Key belongs to a call with a different method, path, query or body")
}

func refuseClaims() *model.Refusal {
	return refuseNotRunRetryable(CodeClaimsUnavailable, "the call could not be claimed and was not sent")
}

func refuseReleasing() *model.Refusal {
	return refuseNotRunRetryable(CodeClaimsUnavailable, "the claim of an earlier call that was not sent is still being released")
}

func refuseNoUpstream(service string) *model.Refusal {
	return refuseNotRunRetryable(CodeNoUpstream, fmt.Sprintf("no upstream serves %q now", service))
}

func refuseUnreachable() *model.Refusal {
	return refuseNotRunRetryable(CodeUpstreamUnreachable, "no connection to an upstream could be made and nothing was sent")
}

func refuseDeadline() *model.Refusal {
	return refuseNotRun(CodeDeadlineExceeded, "the deadline passed before the call was sent")
}

func refuseOverloaded() *model.Refusal {
	return refuseNotRunRetryable(CodeOverloaded, "too many calls are in flight on this instance")
}

func refuseUnknown(message string) *model.Refusal {
	return &model.Refusal{Code: CodeOutcomeUnknown, Message: message, Outcome: model.OutcomeUnknown}
}

func refuseResultNotKept(status int) *model.Refusal {
	return &model.Refusal{
		Code:    CodeResultNotKept,
		Message: fmt.Sprintf("the call ran and ended with status %d; its response was too large to keep", status),
		Outcome: model.OutcomeDone,
	}
}
