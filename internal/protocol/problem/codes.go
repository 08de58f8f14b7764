package problem

import "net/http"

// Codes of refusals. They are stable: callers' programs depend on them.
const (
	CodeInvalidRequest          = "invalid_request"
	CodeIdempotencyKeyRequired  = "idempotency_key_required"
	CodeCredentialRequired      = "credential_required"
	CodeUnknownOrganisation     = "unknown_organisation"
	CodeUnknownModel            = "unknown_model"
	CodeUnknownService          = "unknown_service"
	CodeUnknownRoute            = "unknown_route"
	CodeUnknownRequest          = "unknown_request"
	CodeMethodNotAllowed        = "method_not_allowed"
	CodeCallInProgress          = "call_in_progress"
	CodeBodyTooLarge            = "body_too_large"
	CodeIdempotencyKeyReused    = "idempotency_key_reused"
	CodeRequestKillsEngines     = "request_kills_engines"
	CodeOverloaded              = "overloaded"
	CodeOrganisationLimit       = "organisation_limit"
	CodeInternal                = "internal"
	CodeUpstreamFailed          = "upstream_failed"
	CodeCallOutcomeUnknown      = "call_outcome_unknown"
	CodeNotReady                = "not_ready"
	CodeLeaving                 = "leaving"
	CodeNoUpstream              = "no_upstream"
	CodeClaimsUnavailable       = "claims_unavailable"
	CodeDeadlineUnreachable     = "deadline_unreachable"
	CodeContinuationUnavailable = "continuation_unavailable"
	CodeDeadlineExceeded        = "deadline_exceeded"
)

// statuses gives the HTTP status of each code.
var statuses = map[string]int{
	CodeInvalidRequest:          http.StatusBadRequest,
	CodeIdempotencyKeyRequired:  http.StatusBadRequest,
	CodeCredentialRequired:      http.StatusUnauthorized,
	CodeUnknownOrganisation:     http.StatusForbidden,
	CodeUnknownModel:            http.StatusNotFound,
	CodeUnknownService:          http.StatusNotFound,
	CodeUnknownRoute:            http.StatusNotFound,
	CodeUnknownRequest:          http.StatusNotFound,
	CodeMethodNotAllowed:        http.StatusMethodNotAllowed,
	CodeCallInProgress:          http.StatusConflict,
	CodeBodyTooLarge:            http.StatusRequestEntityTooLarge,
	CodeIdempotencyKeyReused:    http.StatusUnprocessableEntity,
	CodeRequestKillsEngines:     http.StatusUnprocessableEntity,
	CodeOverloaded:              http.StatusTooManyRequests,
	CodeOrganisationLimit:       http.StatusTooManyRequests,
	CodeInternal:                http.StatusInternalServerError,
	CodeUpstreamFailed:          http.StatusBadGateway,
	CodeCallOutcomeUnknown:      http.StatusBadGateway,
	CodeNotReady:                http.StatusServiceUnavailable,
	CodeLeaving:                 http.StatusServiceUnavailable,
	CodeNoUpstream:              http.StatusServiceUnavailable,
	CodeClaimsUnavailable:       http.StatusServiceUnavailable,
	CodeDeadlineUnreachable:     http.StatusServiceUnavailable,
	CodeContinuationUnavailable: http.StatusServiceUnavailable,
	CodeDeadlineExceeded:        http.StatusGatewayTimeout,
}

// Status returns the HTTP status of a code, 500 for an unknown one.
func Status(code string) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
