package admin

import (
	"fmt"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// Code is the kind of a failed call.
type Code string

// Codes of failed calls.
const (
	BadRequest   Code = "bad_request"  // the input is wrong; the message says what to change
	Unauthorized Code = "unauthorized" // the signature is missing or wrong
	Forbidden    Code = "forbidden"    // the operator may not do this
	NotFound     Code = "not_found"
	Conflict     Code = "conflict"    // the state does not allow it; read it again
	Unavailable  Code = "unavailable" // the platform does not answer; the outcome is unknown, repeat the call
	Internal     Code = "internal"
)

// statusByCode gives the HTTP status of each code.
var statusByCode = map[Code]int{
	BadRequest:   http.StatusBadRequest,
	Unauthorized: http.StatusUnauthorized,
	Forbidden:    http.StatusForbidden,
	NotFound:     http.StatusNotFound,
	Conflict:     http.StatusConflict,
	Unavailable:  http.StatusServiceUnavailable,
	Internal:     http.StatusInternalServerError,
}

// Error is a failed call. It travels as {"error": Error}.
type Error struct {
	Code       Code             `json:"code"`
	Message    string           `json:"message"`
	Problems   []bundle.Problem `json:"problems,omitempty"` // of a bundle
	InForce    uint64           `json:"in_force,omitempty"` // bundle version, for a conflict
	RetryAfter time.Duration    `json:"-"`                  // sent as the Retry-After header
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// Status returns the HTTP status.
func (e *Error) Status() int {
	if status, ok := statusByCode[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func fail(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// errorReply is the body of a failed call.
type errorReply struct {
	Error *Error `json:"error"`
}
