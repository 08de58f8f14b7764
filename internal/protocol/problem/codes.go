package problem

import "net/http"

// Codes of refusals. They are stable: callers' programs depend on them. The codes of
// refusals that the coordination layer returns are declared there too, because that
// layer does not import this package.
const (
	CodeInvalidRequest          = "invalid_request"
	CodeIdempotencyKeyRequired  = "idempotency_key_required"
	CodeIdempotencyKeyInvalid   = "idempotency_key_invalid"
	CodeRejectedByEngine        = "rejected_by_engine"
	CodeCredentialRequired      = "credential_required"
	CodeUnknownModel            = "unknown_model"
	CodeUnknownAdapter          = "unknown_adapter"
	CodeUnknownRoute            = "unknown_route"
	CodeUnknownRequest          = "unknown_request"
	CodeMethodNotAllowed        = "method_not_allowed"
	CodeDuplicateRequest        = "duplicate_request"
	CodeResultNotKept           = "result_not_kept"
	CodeBodyTooSlow             = "body_too_slow"
	CodeBodyTooLarge            = "body_too_large"
	CodeIdempotencyKeyReused    = "idempotency_key_reused"
	CodeRequestKillsEngines     = "request_kills_engines"
	CodeOverloaded              = "overloaded"
	CodeCallerLeft              = "caller_left"
	CodeCancelled               = "cancelled"
	CodeInternal                = "internal"
	CodeOutcomeUnknown          = "outcome_unknown"
	CodeNotReady                = "not_ready"
	CodeLeaving                 = "leaving"
	CodeNoEngine                = "no_engine"
	CodeNoUpstream              = "no_upstream"
	CodeUpstreamsPaused         = "upstreams_paused"
	CodeEndsUpstreams           = "request_ends_upstreams"
	CodeUpstreamUnreachable     = "upstream_unreachable"
	CodeClaimsUnavailable       = "claims_unavailable"
	CodeDeadlineUnmet           = "deadline_unmet"
	CodeContinuationUnavailable = "continuation_unavailable"
	CodeDeadlineExceeded        = "deadline_exceeded"
	CodeInstanceFull            = "instance_full"
)

// statusCallerLeft is not a registered HTTP status. HTTP servers commonly log it for
// a request whose client closed the connection.
const statusCallerLeft = 499

// statuses maps each code to its HTTP status.
var statuses = map[string]int{
	CodeInvalidRequest:          http.StatusBadRequest,
	CodeIdempotencyKeyRequired:  http.StatusBadRequest,
	CodeIdempotencyKeyInvalid:   http.StatusBadRequest,
	CodeRejectedByEngine:        http.StatusBadRequest,
	CodeCredentialRequired:      http.StatusUnauthorized,
	CodeUnknownModel:            http.StatusNotFound,
	CodeUnknownAdapter:          http.StatusNotFound,
	CodeUnknownRoute:            http.StatusNotFound,
	CodeUnknownRequest:          http.StatusNotFound,
	CodeMethodNotAllowed:        http.StatusMethodNotAllowed,
	CodeDuplicateRequest:        http.StatusConflict,
	CodeResultNotKept:           http.StatusGone,
	CodeBodyTooSlow:             http.StatusRequestTimeout,
	CodeBodyTooLarge:            http.StatusRequestEntityTooLarge,
	CodeIdempotencyKeyReused:    http.StatusUnprocessableEntity,
	CodeRequestKillsEngines:     http.StatusUnprocessableEntity,
	CodeOverloaded:              http.StatusTooManyRequests,
	CodeCallerLeft:              statusCallerLeft,
	CodeCancelled:               statusCallerLeft,
	CodeInternal:                http.StatusInternalServerError,
	CodeOutcomeUnknown:          http.StatusBadGateway,
	CodeNotReady:                http.StatusServiceUnavailable,
	CodeLeaving:                 http.StatusServiceUnavailable,
	CodeNoEngine:                http.StatusServiceUnavailable,
	CodeNoUpstream:              http.StatusServiceUnavailable,
	CodeUpstreamsPaused:         http.StatusServiceUnavailable,
	CodeInstanceFull:            http.StatusServiceUnavailable,
	CodeEndsUpstreams:           http.StatusServiceUnavailable,
	CodeUpstreamUnreachable:     http.StatusServiceUnavailable,
	CodeClaimsUnavailable:       http.StatusServiceUnavailable,
	CodeDeadlineUnmet:           http.StatusServiceUnavailable,
	CodeContinuationUnavailable: http.StatusServiceUnavailable,
	CodeDeadlineExceeded:        http.StatusGatewayTimeout,
}

// Status returns the HTTP status of a code, 500 for an unknown code.
func Status(code string) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
