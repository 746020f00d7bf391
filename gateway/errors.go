package gateway

import (
	"net/http"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
)

// Error describes to a caller why its request failed.
type Error struct {
	Code    code.Code
	Message string
	// RunStatus is whether the request ran. It is sent as not_run.
	RunStatus code.RunStatus
	// RetryAfter is the delay before a retry; 0 if a retry does not help.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// notRunError returns an error for a request that did not run.
func notRunError(c code.Code, message string) *Error {
	return &Error{Code: c, Message: message, RunStatus: code.NotRun}
}

// httpStatus returns the HTTP status for a code.
func httpStatus(c code.Code) int {
	switch c {
	case code.BadRequest:
		return http.StatusBadRequest
	case code.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case code.Unauthorized:
		return http.StatusUnauthorized
	case code.Forbidden:
		return http.StatusForbidden
	case code.UnknownSearch:
		return http.StatusNotFound
	case code.RateLimited:
		return http.StatusTooManyRequests
	case code.DeadlinePassed, code.Timeout, code.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case code.Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
