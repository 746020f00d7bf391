package gateway

import (
	"net/http"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
)

// Error is what a caller is told when a request is not answered.
type Error struct {
	Code    code.Code
	Message string
	// RunStatus tells whether the work ran; callers see it as not_run.
	RunStatus code.RunStatus
	// RetryAfter tells when to come back; 0 if coming back does not help.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// refusal returns an error for work that did not run.
func refusal(c code.Code, message string) *Error {
	return &Error{Code: c, Message: message, RunStatus: code.NotRun}
}

// status returns the HTTP status for a code.
func status(c code.Code) int {
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
